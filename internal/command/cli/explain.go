package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"snipetack/internal/command/explain"
)

type explainCommand struct {
	Position struct {
		ID    string   `positional-arg-name:"ID" description:"id of a request or job" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"logs of VMs; standard input without any"`
	} `positional-args:"yes"`
}

func (c explainCommand) run(e *environment) error {
	var lines []explain.Line
	others := 0
	for _, f := range c.Position.Files {
		h, err := os.Open(f)
		if err != nil {
			return errors.Wrap(err, "opening a log")
		}
		l, n, err := explain.Read(h)
		_ = h.Close()
		if err != nil {
			return errors.Wrap(err, f)
		}
		lines, others = append(lines, l...), others+n
	}
	if len(c.Position.Files) == 0 {
		l, n, err := explain.Read(e.in)
		if err != nil {
			return err
		}
		lines, others = l, n
	}
	s := explain.Tell(lines, c.Position.ID)
	if len(s) == 0 {
		return errors.Errorf("%s is in none of %d lines (%d are no lines of a log)", c.Position.ID, len(lines), others)
	}
	return printStory(e.out, s)
}

func printStory(w io.Writer, s explain.Story) error {
	for _, x := range s {
		mark := "*"
		if x.Context {
			mark = " "
		}
		if _, err := fmt.Fprintln(w, mark, x.String()); err != nil {
			return errors.Wrap(err, "printing the story")
		}
	}
	return nil
}
