package cli

import "fmt"

// Version is the program's version.
const Version = "0.1.0"

type version struct{}

func (version) run(e *environment) error {
	_, err := fmt.Fprintln(e.out, "snipetack", Version)
	return err
}
