package cli

import (
	"fmt"
	"net/http"
	"time"

	"snipetack/internal/transport/evacuations"
)

// evacuationTimeout bounds one call; orders that got no acknowledgement may be repeated.
const evacuationTimeout = 10 * time.Second

// nodeFlags name a control VM that `snipetack node` runs.
type nodeFlags struct {
	Control string `long:"control" required:"yes" description:"address for operators of a control VM" value-name:"HOST:PORT"`
}

func (f nodeFlags) client() *evacuations.Client {
	return evacuations.NewClient(f.Control, &http.Client{Timeout: evacuationTimeout})
}

type evacuationList struct {
	nodeFlags
	JSON bool `long:"json" description:"print JSON, an entry a line"`
}

func (c evacuationList) run(e *environment) error {
	x, err := c.client().List(e.ctx)
	if err != nil {
		return err
	}
	t := newTable("DATA CENTRE", "STATE", "REVISION")
	var l []any
	for _, v := range x.Evacuations {
		l = append(l, v)
		t.add(v.Zone, v.State, fmt.Sprint(v.Revision))
	}
	return output(e, c.JSON, l, t)
}

type evacuationStart struct {
	nodeFlags
	zoneArgument
}

func (c evacuationStart) run(e *environment) error { return c.client().Start(e.ctx, c.Positional.Zone) }

type evacuationEnd struct {
	nodeFlags
	zoneArgument
}

func (c evacuationEnd) run(e *environment) error { return c.client().End(e.ctx, c.Positional.Zone) }

type zoneArgument struct {
	Positional struct {
		Zone string `positional-arg-name:"ZONE" description:"data centre"`
	} `positional-args:"yes" required:"yes"`
}

// evacuationEntries returns the commands about evacuations of data centres.
func evacuationEntries() []entry {
	return []entry{
		{name: "list", short: "list evacuations", long: "Prints the data centres that are or were evacuated.", make: newCommand[evacuationList]()},
		{name: "start", short: "evacuate a data centre", long: "Lets no VM send anything more to the upstreams of a data centre; what is in flight goes on. May be repeated.", make: newCommand[evacuationStart]()},
		{name: "end", short: "end an evacuation", long: "Lets VMs use the upstreams of a data centre again. May be repeated.", make: newCommand[evacuationEnd]()},
	}
}
