package cli

import (
	"net/http"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/operator"
)

// fleetFlags are the operator address and the operator's token; both may come from the environment.
type fleetFlags struct {
	Operator  string `long:"operator" description:"operator address of any VM" value-name:"IP:PORT" env:"SNIPETACK_OPERATOR"`
	TokenFile string `long:"token-file" description:"file with the operator's token" value-name:"FILE" env:"SNIPETACK_TOKEN_FILE"`
}

// client returns a client of the fleet, or an error if a flag is missing or the token file can't be read. It opens no
// connection.
func (f fleetFlags) client() (*operator.Client, error) {
	if f.Operator == "" || f.TokenFile == "" {
		return nil, errors.New("--operator and --token-file are needed to reach the fleet")
	}
	t, err := readToken(f.TokenFile)
	if err != nil {
		return nil, invalid{err}
	}
	return operator.NewClient(f.Operator, t, http.DefaultClient), nil
}

// open returns a client of the fleet and the configuration in force, which it fetches.
func (f fleetFlags) open(e *environment) (*operator.Client, *catalog.Configuration, error) {
	c, err := f.client()
	if err != nil {
		return nil, nil, err
	}
	n, err := c.Configuration(e.ctx)
	return c, n, err
}

// commit sends a change until its outcome is known and returns the revision that it made. The change's id keeps a repeated
// request from being applied twice.
func commit(e *environment, c *operator.Client, h catalog.Change) (uint64, error) {
	o, err := c.Commit(e.ctx, h)
	switch {
	case err != nil:
		return 0, errors.Wrap(err, "the change may or may not be applied; run config history to see")
	case o.Code == result.ChangeConflict && o.Winner != "":
		return 0, errors.Errorf("nothing applied: revision %d is in force, made after change %s of operator %s; run the command again", o.Revision, o.Winner, o.Author)
	case o.Code == result.ChangeConflict:
		return 0, errors.Errorf("nothing applied: revision %d is in force by now; run the command again", o.Revision)
	case o.Code != result.OK:
		return 0, errors.Errorf("nothing applied: %s", o.Detail)
	}
	return o.Revision, nil
}

// newChangeID returns a random id for a change; retries of the change carry the same id.
func newChangeID() string {
	return "change-" + uuid.NewString()
}
