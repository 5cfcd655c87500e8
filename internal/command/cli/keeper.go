package cli

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// keeperEntries returns the subcommands of keeper.
func keeperEntries() []entry {
	return []entry{
		{
			name:  "status",
			short: "show the keepers and their groups",
			long:  "Shows for every keeper and group the leader, the term, how far the log is committed and applied, and who votes.",
			make:  newCommand[keeperStatus](),
		},
		{
			name:  "add",
			short: "make a VM's keeper a member",
			long: "Makes the keeper of a VM, which runs with an empty data folder, a member of all groups; " +
				"it votes once it has caught up. A keeper that lost its disk is replaced without this command.",
			make: func() command { return &keeperAction{action: "add"} },
		},
		{
			name:  "remove",
			short: "take a VM's keeper out",
			long:  "Takes the keeper of a VM out of all groups; refused when the others that respond are no majority.",
			make:  func() command { return &keeperAction{action: "remove"} },
		},
		{
			name:  "transfer",
			short: "have a keeper transfer its leadership",
			long:  "Has the keeper of a VM transfer the leadership of all its groups to other keepers.",
			make:  func() command { return &keeperAction{action: "transfer"} },
		},
	}
}

type keeperStatus struct {
	fleetFlags
}

func (c *keeperStatus) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	l, err := f.Keepers(e.ctx)
	if err != nil {
		return err
	}
	t := newTable("KEEPER", "GROUP", "LEADER", "TERM", "COMMIT", "APPLIED", "SNAPSHOT", "VOTERS", "LEARNERS")
	for _, k := range l {
		if k.Error != "" {
			t.add(k.VM, "-", "no answer: "+k.Error)
		}
		for _, g := range k.Groups {
			t.add(k.VM, fmt.Sprint(g.Group), g.Leader, fmt.Sprint(g.Term), fmt.Sprint(g.Commit), fmt.Sprint(g.Applied),
				fmt.Sprint(g.Snapshot), strings.Join(g.Voters, ","), strings.Join(g.Learners, ","))
		}
	}
	return t.write(e.out)
}

type keeperAction struct {
	fleetFlags
	VM     string `long:"vm" description:"VM of the keeper" value-name:"NAME" required:"yes"`
	action string
}

func (c *keeperAction) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	n, err := f.KeeperAction(e.ctx, c.action, c.VM)
	if err != nil {
		return errors.Wrapf(err, "keeper %s", c.action)
	}
	fmt.Fprintf(e.out, "%s of keeper %s: %d groups changed\n", c.action, c.VM, n.ChangedGroups)
	return nil
}
