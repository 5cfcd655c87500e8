package quickstart

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/command/settings"
	"snipetack/internal/command/vm"
	"snipetack/internal/standin/engine"
	"snipetack/internal/standin/plain"
	"snipetack/internal/transport/disk"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/telemetry"
)

// Sizes of the quickstart's fleet; keepers are the first VMs.
const (
	vmCount     = 7
	keeperCount = 3
	engineCount = 2
)

// plainCallDuration is the duration of a call to the plain service.
const plainCallDuration = 5 * time.Millisecond

// fleet is the VMs and upstreams of the quickstart. It is not safe for concurrent use.
type fleet struct {
	network         network.Network
	settings        settings.Settings
	folder          string   // keepers' data folders; removed by stop
	token           [32]byte // digest of the fleet operator's token, which is random and not printed
	log             *slog.Logger
	issuer          *identity.Authority   // issues the VMs' certificates
	vms             map[string]*runningVM // by name
	engines         []*engine.Engine
	servers         []*http.Server
	engineAddresses []string
	plainAddress    string
}

// runningVM is a VM that was started.
type runningVM struct {
	vm      *vm.VM
	network *switchable
	stop    context.CancelFunc
	done    chan error // result of Run
	lost    bool       // killed; its result is ignored
}

func newFleet(n network.Network, folder string, token [32]byte, l *slog.Logger) (*fleet, error) {
	a, err := identity.NewAuthority("quickstart", time.Now())
	if err != nil {
		return nil, err
	}
	s := &fleet{network: n, folder: folder, token: token, log: l, issuer: a, vms: map[string]*runningVM{}}
	if err := s.assignAddresses(); err != nil {
		return nil, err
	}
	if err := s.startUpstreams(); err != nil {
		return nil, err
	}
	for _, v := range s.settings.VMs {
		if err := s.startVM(v); err != nil {
			return nil, errors.Wrapf(err, "starting VM %s", v.Name)
		}
	}
	return s, nil
}

// assignAddresses gives every VM free ports on loopback, one of three data centres and, if it is a keeper, a data folder.
func (s *fleet) assignAddresses() error {
	s.settings.Fleet = "quickstart"
	for i := range vmCount {
		v := settings.VM{Name: fmt.Sprintf("vm-%d", i+1), DataCentre: fmt.Sprintf("ch-mitte-%c", 'a'+i%3)}
		if i < keeperCount {
			v.DataFolder = filepath.Join(s.folder, v.Name)
		}
		for _, p := range []*string{&v.Mesh, &v.Callers, &v.Operators} {
			a, err := freeAddress(s.network)
			if err != nil {
				return err
			}
			*p = a
		}
		s.settings.VMs = append(s.settings.VMs, v)
	}
	return nil
}

// startUpstreams starts the stand-in engines and the plain service.
func (s *fleet) startUpstreams() error {
	for i := range engineCount {
		e := engine.DefaultSettings()
		e.Name = fmt.Sprintf("engine-%d", i+1)
		x := engine.New(e)
		x.SetFaults(engine.Faults{FailItems: true})
		s.engines = append(s.engines, x)
		a, err := s.serve(x.Handler())
		if err != nil {
			return err
		}
		s.engineAddresses = append(s.engineAddresses, a)
	}
	a, err := s.serve(plain.New("tour-app", plainCallDuration))
	s.plainAddress = a
	return err
}

// serve serves the handler on a free loopback port until stop, and returns its address.
func (s *fleet) serve(h http.Handler) (string, error) {
	l, err := s.network.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, v)
	go func() { _ = v.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *fleet) startVM(v settings.VM) error {
	c, err := s.issuer.Issue(v.Name, time.Now())
	if err != nil {
		return err
	}
	t, err := telemetry.New()
	if err != nil {
		return err
	}
	n := newSwitchable(s.network)
	d := vm.Deps{
		Settings:    s.settings,
		Name:        v.Name,
		Network:     n,
		Credentials: identity.New(c, s.issuer.Certificate),
		Token:       s.token,
		Log:         s.log.With("vm", v.Name),
		Telemetry:   t,
	}
	if v.Keeper() {
		if d.Disk, err = disk.New(v.DataFolder); err != nil {
			return err
		}
	}
	m, err := vm.New(d)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &runningVM{vm: m, network: n, stop: stop, done: make(chan error, 1)}
	s.vms[v.Name] = p
	go func() { p.done <- m.Run(ctx) }()
	return nil
}

// kill simulates a power failure of a VM. Its sockets are closed first, so that its shutdown can't notify other VMs.
func (s *fleet) kill(name string) {
	p := s.vms[name]
	p.lost = true
	p.network.turnOff()
	p.stop()
}

// stop shuts the VMs down gracefully, waits for them, closes the upstreams, and removes the data folders. It returns the
// first error.
func (s *fleet) stop() error {
	var first error
	for _, p := range s.vms {
		p.stop()
	}
	for n, p := range s.vms {
		if err := <-p.done; err != nil && !p.lost && first == nil {
			first = errors.Wrapf(err, "stopping VM %s", n)
		}
	}
	for _, v := range s.servers {
		_ = v.Close()
	}
	for _, e := range s.engines {
		e.Close()
	}
	if err := os.RemoveAll(s.folder); err != nil && first == nil {
		first = errors.Wrap(err, "removing the quickstart's files")
	}
	return first
}

// freeAddress returns a loopback address whose port is free for both TCP and UDP. The port is not reserved.
func freeAddress(n network.Network) (string, error) {
	for {
		l, err := n.Listen("127.0.0.1:0")
		if err != nil {
			return "", err
		}
		a := l.Addr().String()
		_ = l.Close()
		var p net.PacketConn
		if p, err = n.ListenPacket(a); err == nil {
			_ = p.Close()
			return a, nil
		}
	}
}
