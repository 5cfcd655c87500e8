package cli

import (
	"context"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"snipetack/internal/command/settings"
	"snipetack/internal/command/vm"
	"snipetack/internal/coordination/access"
	"snipetack/internal/transport/disk"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/telemetry"
)

type serve struct {
	Settings string `long:"settings" description:"settings file" value-name:"FILE" required:"yes"`
	VM       string `long:"vm" description:"name of the VM to run; may be left out when the file has one" value-name:"NAME"`
}

func (c serve) run(e *environment) error {
	d, err := c.deps(e)
	if err != nil {
		return invalid{err}
	}
	if d.Disk != nil {
		defer d.Disk.Close()
	}
	v, err := vm.New(d)
	if err != nil {
		return err
	}
	defer context.AfterFunc(e.force, v.Force)()
	return v.Run(e.ctx)
}

// deps loads what the VM needs: its settings, certificate, operator's token and, on a keeper, its data folder.
func (c serve) deps(e *environment) (vm.Deps, error) {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return vm.Deps{}, err
	}
	v, ok := s.VM(c.VM)
	if !ok {
		return vm.Deps{}, errors.Errorf("%s names no VM %q", c.Settings, c.VM)
	}
	i, err := identity.Load(s.CertificateFolder, v.Name)
	if err != nil {
		return vm.Deps{}, err
	}
	t, err := readToken(s.OperatorTokenFile)
	if err != nil {
		return vm.Deps{}, err
	}
	m, err := telemetry.New()
	if err != nil {
		return vm.Deps{}, err
	}
	d := vm.Deps{
		Telemetry:   m,
		Settings:    s,
		Name:        v.Name,
		Network:     network.New(),
		Credentials: i,
		Token:       access.Digest(t),
		Log:         newLogger(e.err, s.Log).With("vm", v.Name),
	}
	d.MemoryMB, d.MaxFiles = processLimits(v)
	if v.Keeper() {
		d.Disk, err = disk.New(v.DataFolder)
	}
	return d, err
}

// processLimits returns the memory in MiB and the descriptors that the process may use: those of the settings, or else the limits
// that it runs under; 0 is unknown. Memory that only the settings name becomes the Go runtime's limit.
func processLimits(v settings.VM) (memoryMB, files int) {
	memoryMB, files = v.MemoryMB, v.MaxFiles
	limit := debug.SetMemoryLimit(-1)
	switch {
	case limit == math.MaxInt64 && memoryMB > 0:
		debug.SetMemoryLimit(int64(heapFraction * float64(memoryMB) * (1 << 20)))
	case limit != math.MaxInt64 && memoryMB == 0:
		memoryMB = int(float64(limit) / heapFraction / (1 << 20))
	}
	var r syscall.Rlimit
	if files == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
		files = int(min(r.Cur, maxDescriptors))
	}
	return memoryMB, files
}

// heapFraction is the fraction of the VM's memory that is left to the heap.
const heapFraction = 0.75

// maxDescriptors bounds the descriptors that are counted on where the process has no lower limit.
const maxDescriptors = 1 << 16

func readToken(file string) (string, error) {
	b, err := os.ReadFile(file)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "reading the operator's token")
}

// newLogger returns a logger that writes to w in the format and from the level of the settings.
func newLogger(w io.Writer, l settings.Log) *slog.Logger {
	var v slog.Level
	_ = v.UnmarshalText([]byte(l.Level))
	o := &slog.HandlerOptions{Level: v}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}
