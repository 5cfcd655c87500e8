package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/command/questionnaire"
	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/operator"
)

// answersFlags select the answers that the configuration is compared with: those of a file or the stored ones.
type answersFlags struct {
	fleetFlags
	Answers string `long:"answers" description:"answers to compare with; without it, the stored answers of all teams" value-name:"FILE"`
}

type configShow struct {
	fleetFlags
}

func (c configShow) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	b, err := f.Document(e.ctx)
	if err != nil {
		return err
	}
	_, err = e.out.Write(b)
	return err
}

type configDiff struct {
	answersFlags
}

func (c configDiff) run(e *environment) error {
	l, _, err := c.plans(e)
	if err != nil {
		return err
	}
	n := 0
	for _, p := range l {
		n += len(p.Ops)
	}
	if n > 0 {
		return errors.Errorf("%d differences", n)
	}
	return nil
}

type configApply struct {
	answersFlags
	KeysFile string `long:"keys-file" description:"write new keys here before the change is sent" value-name:"FILE"`
}

func (c configApply) run(e *environment) error {
	l, f, err := c.plans(e)
	if err != nil {
		return err
	}
	return apply(e, f, mergePlans(l), c.KeysFile)
}

// plans prints and returns, for each team, the changes that make the configuration equal to the team's answers. All plans are
// based on the same revision.
func (c answersFlags) plans(e *environment) ([]questionnaire.Plan, *operator.Client, error) {
	f, err := c.client()
	if err != nil {
		return nil, nil, err
	}
	current, err := f.Configuration(e.ctx)
	if err != nil {
		return nil, nil, err
	}
	l, err := c.answers(current)
	if err != nil {
		return nil, nil, markInvalid(err)
	}
	var plans []questionnaire.Plan
	for _, a := range l {
		p, err := questionnaire.Generate(a, current, time.Now())
		if err != nil {
			return nil, nil, markInvalid(err)
		}
		fmt.Fprintf(e.out, "team %s, ", a.Team)
		showDifference(e, p, current)
		plans = append(plans, p)
	}
	return plans, f, nil
}

func (c answersFlags) answers(current *catalog.Configuration) ([]questionnaire.Answers, error) {
	if c.Answers == "" {
		return questionnaire.Stored(current)
	}
	b, err := os.ReadFile(c.Answers)
	if err != nil {
		return nil, errors.Wrap(err, "reading the answers")
	}
	a, err := questionnaire.Decode(c.Answers, b)
	return []questionnaire.Answers{a}, err
}

// mergePlans combines plans into one, which is applied as one change; all must be based on the same revision.
func mergePlans(l []questionnaire.Plan) questionnaire.Plan {
	var n questionnaire.Plan
	for _, p := range l {
		n.Base = p.Base
		n.Ops = append(n.Ops, p.Ops...)
		n.Secrets = append(n.Secrets, p.Secrets...)
	}
	return n
}

type configHistory struct {
	fleetFlags
	Last uint64 `long:"last" description:"number of changes to list" default:"20"`
	JSON bool   `long:"json" description:"print JSON, a change a line"`
}

func (c configHistory) run(e *environment) error {
	f, n, err := c.open(e)
	if err != nil {
		return err
	}
	l, err := f.History(e.ctx, n.Revision-min(n.Revision, c.Last))
	if err != nil {
		return err
	}
	slices.Reverse(l)
	if c.JSON {
		return printHistoryJSON(e, l)
	}
	t := newTable("REVISION", "AT", "OPERATOR", "CHANGE", "WHAT")
	for _, a := range l {
		t.add(fmt.Sprint(a.Revision), formatTime(a.Change.At), a.Change.Author, a.Change.ID, summarizeOps(a.Change.Ops))
	}
	return t.write(e.out)
}

// historyLine is the JSON form of a change.
type historyLine struct {
	Revision uint64   `json:"revision"`
	At       string   `json:"at"`
	Operator string   `json:"operator"`
	Change   string   `json:"change"`
	What     []string `json:"what"`
}

func printHistoryJSON(e *environment, l []catalog.Applied) error {
	d := json.NewEncoder(e.out)
	for _, a := range l {
		h := historyLine{a.Revision, formatTime(a.Change.At), a.Change.Author, a.Change.ID, questionnaire.Describe(a.Change.Ops)}
		if err := d.Encode(h); err != nil {
			return errors.Wrap(err, "printing the history")
		}
	}
	return nil
}

// summarizeOps names the first edits of a change, without their values, and counts the others.
func summarizeOps(l []catalog.Op) string {
	const shown = 3
	var s []string
	for i, d := range questionnaire.Describe(l) {
		if i == shown {
			s = append(s, fmt.Sprintf("and %d more", len(l)-shown))
			break
		}
		t, _, _ := strings.Cut(d, ":")
		s = append(s, t)
	}
	return strings.Join(s, ", ")
}

// formatTime returns t in UTC as RFC 3339, or "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
