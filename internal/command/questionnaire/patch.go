package questionnaire

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"snipetack/internal/state/catalog"
)

// patchOp is one operation of a JSON Patch (RFC 6902).
type patchOp struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// SetLeaving returns the answers of the upstream's team with the upstream's leaving answer set. Comments in the document are
// kept, its formatting is not. The configuration is not changed.
func SetLeaving(c *catalog.Configuration, upstream string, leaving bool) (Answers, error) {
	l, err := Stored(c)
	if err != nil {
		return Answers{}, err
	}
	for _, a := range l {
		for i, s := range a.Services {
			for j, u := range s.Upstreams {
				if u.Name == upstream {
					return a.withValue(fmt.Sprintf("/services/%d/upstreams/%d/leaving", i, j), leaving)
				}
			}
		}
	}
	return Answers{}, errors.Errorf("no team's answers hold upstream %q", upstream)
}

// withValue returns the answers with the value at a path, a JSON Pointer, added or replaced.
func (a Answers) withValue(path string, value any) (Answers, error) {
	v, err := hujson.Parse(a.Document)
	if err != nil {
		return Answers{}, errors.Wrapf(err, "reading the answers of team %q", a.Team)
	}
	b, err := json.Marshal([]patchOp{{Op: "add", Path: path, Value: value}})
	if err != nil {
		return Answers{}, errors.Wrap(err, "writing a patch")
	}
	if err := v.Patch(b); err != nil {
		return Answers{}, errors.Wrapf(err, "changing the answers of team %q at %s", a.Team, path)
	}
	v.Format()
	return Decode("answers of "+a.Team, v.Pack())
}
