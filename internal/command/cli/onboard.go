package cli

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/command/document"
	"snipetack/internal/command/questionnaire"
	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/operator"
)

type onboard struct {
	fleetFlags
	Answers  string `long:"answers" description:"answers in JSON with comments; without it, they are asked for" value-name:"FILE"`
	Edit     string `long:"edit" description:"change the answers of an onboarded team; without --answers, prints the stored ones" value-name:"TEAM"`
	DryRun   bool   `long:"dry-run" description:"show everything and apply nothing; without --operator, compares with an empty fleet"`
	KeysFile string `long:"keys-file" description:"write new keys here before the change is sent, so that a lost answer loses no key" value-name:"FILE"`
}

func (c onboard) run(e *environment) error {
	f, current, err := c.inForce(e)
	if err != nil {
		return err
	}
	if c.Edit != "" && c.Answers == "" {
		return c.printStored(e, current)
	}
	a, err := c.answers(e)
	if err != nil {
		return markInvalid(err)
	}
	if err := c.checkReplacement(a, current); err != nil {
		return err
	}
	p, err := questionnaire.Generate(a, current, time.Now())
	if err != nil {
		return markInvalid(err)
	}
	showPlan(e, a, p, current)
	if c.DryRun {
		fmt.Fprintln(e.out, "dry run: nothing applied")
		return nil
	}
	return apply(e, f, p, c.KeysFile)
}

// inForce returns a client of the fleet and the configuration to compare with. A dry run without an
// operator address and --edit gets no client and an empty configuration.
func (c onboard) inForce(e *environment) (*operator.Client, *catalog.Configuration, error) {
	if c.DryRun && c.Operator == "" && c.Edit == "" {
		return nil, catalog.NewConfiguration(), nil
	}
	f, err := c.client()
	if err != nil {
		return nil, nil, err
	}
	n, err := f.Configuration(e.ctx)
	return f, n, err
}

func (c onboard) printStored(e *environment, current *catalog.Configuration) error {
	a, ok := current.Answers[c.Edit]
	if !ok {
		return errors.Errorf("team %q is not onboarded", c.Edit)
	}
	_, err := e.out.Write(a.Document)
	return err
}

func (c onboard) answers(e *environment) (questionnaire.Answers, error) {
	if c.Answers == "" {
		b, err := questionnaire.Interview(e.in, e.out)
		if err != nil {
			return questionnaire.Answers{}, err
		}
		fmt.Fprintf(e.out, "\n%s\n", b)
		return questionnaire.Decode("answers", b)
	}
	b, err := os.ReadFile(c.Answers)
	if err != nil {
		return questionnaire.Answers{}, errors.Wrap(err, "reading the answers")
	}
	return questionnaire.Decode(c.Answers, b)
}

// checkReplacement returns an error if applying the answers would replace those of an onboarded team without --edit, or if
// --edit names a team that is not theirs or not onboarded.
func (c onboard) checkReplacement(a questionnaire.Answers, current *catalog.Configuration) error {
	old, ok := current.Answers[a.Team]
	switch {
	case c.Edit != "" && c.Edit != a.Team:
		return errors.Errorf("the answers are those of team %q, not %q", a.Team, c.Edit)
	case c.Edit != "" && !ok:
		return errors.Errorf("team %q is not onboarded", c.Edit)
	case c.Edit == "" && ok && !bytes.Equal(old.Document, a.Document):
		return errors.Errorf("team %q is onboarded with other answers; use --edit %s to change them", a.Team, a.Team)
	default:
		return nil
	}
}

// showPlan prints the configuration that the answers generate, its difference to the one in force, and warnings.
func showPlan(e *environment, a questionnaire.Answers, p questionnaire.Plan, current *catalog.Configuration) {
	fmt.Fprintf(e.out, "configuration generated for team %s:\n", a.Team)
	printLines(e, questionnaire.Describe(questionnaire.Entries(a)))
	showDifference(e, p, current)
}

func showDifference(e *environment, p questionnaire.Plan, current *catalog.Configuration) {
	fmt.Fprintf(e.out, "difference to revision %d:\n", p.Base)
	if len(p.Ops) == 0 {
		fmt.Fprintln(e.out, "  none")
	}
	printLines(e, questionnaire.Difference(current, p.Ops))
	for _, w := range p.Warnings {
		fmt.Fprintln(e.out, "warning:", w)
	}
}

func printLines(e *environment, l []string) {
	for _, s := range l {
		fmt.Fprintln(e.out, "  "+s)
	}
}

// apply saves the new keys to keysFile, if one is named, commits a plan and prints the keys. They are saved first so that
// they are not lost when the response is.
func apply(e *environment, f *operator.Client, p questionnaire.Plan, keysFile string) error {
	if len(p.Ops) == 0 {
		fmt.Fprintln(e.out, "nothing to apply")
		return nil
	}
	if err := saveKeys(keysFile, p.Secrets); err != nil {
		return err
	}
	n, err := commit(e, f, p.Change(newChangeID()))
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "applied as revision %d\n", n)
	if len(p.Secrets) > 0 {
		fmt.Fprintln(e.out, "keys, shown only now:")
	}
	printLines(e, keyLines(p.Secrets))
	return nil
}

// markInvalid marks an error that is a mistake in the answers as invalid, so that the exit code differs from that of a failure.
func markInvalid(err error) error {
	var p document.Problem
	if errors.As(err, &p) {
		return invalid{err}
	}
	return err
}
