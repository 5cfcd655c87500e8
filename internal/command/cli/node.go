package cli

import (
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"snipetack/internal/command/node"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/disk"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/jobs"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/relay"
	"snipetack/internal/transport/telemetry"
	"snipetack/platform"
)

type nodeCommand struct {
	Settings string `long:"settings" description:"settings file; the platform's variable names it otherwise" value-name:"FILE"`
}

func (c nodeCommand) run(e *environment) error {
	file := c.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	s, err := node.Load(file)
	if err != nil {
		return invalid{err}
	}
	s.Contention = s.Contention || platform.HandlesContention(s.Contracts)
	node.LimitRuntime(s)
	w := telemetry.NewLogRing(e.out)
	defer w.Close()
	m, err := telemetry.New()
	if err != nil {
		return err
	}
	if err := m.Gauge("log_lines_dropped", "Log lines beyond the budget.", "1", func() float64 { return float64(w.Dropped()) }); err != nil {
		return err
	}
	d := node.Deps{
		Telemetry: m,
		Settings:  s,
		Reload:    func() (node.Settings, error) { return node.Load(file) },
		Network:   network.New(),
		Adapters:  platformAdapters(),
		Log:       slog.New(telemetry.NewRequestLogLimiter(slog.NewJSONHandler(w, nil), w)).With("vm", s.VM),
	}
	if s.Data != "" {
		d.Disk, err = disk.New(s.Data)
		if err != nil {
			return err
		}
		defer d.Disk.Close()
	}
	n := node.New(d)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() { // SIGHUP reloads the settings file; only its seeds are adopted
		for range hup {
			n.ReloadSeeds()
		}
	}()
	return errors.Wrap(n.Run(e.ctx), "running the VM")
}

// platformAdapters returns the adapters that connect the VM with the platform it runs on.
func platformAdapters() node.Adapters {
	return node.Adapters{
		DecodePlan: func(b []byte) (*plan.Plan, error) { return platform.DecodePlan(b) },
		Upstreams:  func(p *httpconn.Pool) relay.UpstreamProvider { return platform.NewEngine(p) },
		Segments:   platform.ItemSegments,
		List: func(p *httpconn.Pool, address string, log *slog.Logger) node.ListProvider {
			return platform.NewList(p, address, log)
		},
		Callers:   func(r *relay.Relay, j *jobs.Client, l *slog.Logger) http.Handler { return platform.NewCaller(r, j, l) },
		Ready:     platform.Ready,
		Operators: func(c node.ControlProvider) http.Handler { return platform.NewOperator(c) },
	}
}
