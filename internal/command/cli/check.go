package cli

import (
	"fmt"

	"snipetack/internal/command/node"
	"snipetack/internal/command/settings"
)

type check struct {
	Settings string `long:"settings" description:"settings file" value-name:"FILE" required:"yes"`
	Node     bool   `long:"node" description:"the file is for one VM that finds the others"`
}

func (c check) run(e *environment) error {
	if c.Node {
		return c.checkNode(e)
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return invalid{err}
	}
	_, err = fmt.Fprintf(e.out, "%s: %d VMs, %d keepers, no mistakes\n", c.Settings, len(s.VMs), len(s.Keepers("")))
	return err
}

// checkNode checks the settings file of the node command, which describes one VM only.
func (c check) checkNode(e *environment) error {
	s, err := node.Load(c.Settings)
	if err != nil {
		return invalid{err}
	}
	_, err = fmt.Fprintf(e.out, "%s: %s VM %s, %d seeds, no mistakes\n", c.Settings, s.Class, s.VM, len(s.Seeds))
	return err
}
