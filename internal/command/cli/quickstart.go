package cli

import (
	"log/slog"

	"snipetack/internal/command/quickstart"
	"snipetack/internal/command/settings"
	"snipetack/internal/transport/network"
)

type quickstartCommand struct {
	Keep    bool `long:"keep" description:"go on serving and print the addresses"`
	Verbose bool `long:"verbose" description:"print the VMs' log lines"`
}

func (c quickstartCommand) run(e *environment) error {
	l := slog.New(slog.DiscardHandler)
	if c.Verbose {
		l = newLogger(e.err, settings.Log{Format: "text", Level: "info"})
	}
	return quickstart.Run(e.ctx, quickstart.Options{Out: e.out, Log: l, Network: network.New(), Keep: c.Keep})
}
