package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/command/settings"
	"snipetack/internal/command/vm"
	"snipetack/internal/coordination/access"
	"snipetack/internal/standin/engine"
	"snipetack/internal/standin/plain"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fakedisk"
	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/telemetry"
)

// CallerIP is the IP address of the host from which Client dials.
const CallerIP = "10.9.0.1"

// Model is the model that the stand-in engines serve.
const Model = "sprach-1"

// Shape describes what a fleet consists of.
type Shape struct {
	Seed    uint64 // of the network's faults
	Keepers int    // VMs with a data folder
	Entries int    // VMs without one
	Engines int
	Plains  int             // plain services
	Engine  engine.Settings // of each engine; with zero Slots engine.DefaultSettings apply
	Link    fakenet.Link    // of all hosts; the zero value is a delay of 1 ms
	Log     io.Writer       // receives the VMs' logs; nil discards them
}

// Fleet is a running fleet. Use it within one synctest bubble; Start, Stop, Kill and Change are not safe for
// concurrent use.
type Fleet struct {
	T        testing.TB
	Net      *fakenet.Net
	Settings settings.Settings
	Engines  []*engine.Engine
	Plains   []*plain.Service
	Disks    map[string]*fakedisk.Folder // by VM name; a disk outlives Stop and Kill
	shape    Shape
	issuer   *identity.Authority
	running  map[string]*process
	servers  []*http.Server
	changes  int
}

// process is one incarnation of a VM.
type process struct {
	vm   *vm.VM
	stop context.CancelFunc
	done chan error
}

// New starts the upstreams and VMs of a fleet, without a configuration (see Onboard); Close ends it.
func New(t testing.TB, s Shape) *Fleet {
	if s.Link == (fakenet.Link{}) {
		s.Link.Delay = time.Millisecond
	}
	if s.Engine.Slots == 0 {
		s.Engine = engine.DefaultSettings()
	}
	a, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	f := &Fleet{
		T:       t,
		Net:     fakenet.New(s.Seed, s.Link),
		Disks:   map[string]*fakedisk.Folder{},
		shape:   s,
		issuer:  a,
		running: map[string]*process{},
	}
	f.Settings = f.settings()
	for i := range s.Engines {
		f.startEngine(i)
	}
	for i := range s.Plains {
		f.startPlain(i)
	}
	for _, v := range f.Settings.VMs {
		f.Start(v.Name)
	}
	return f
}

// Close kills all VMs and engines and ends all connections.
func (f *Fleet) Close() {
	for n := range f.running {
		f.Kill(n)
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.Net.Close()
}

// IP returns the IP address of a VM.
func (f *Fleet) IP(vm string) string {
	v, ok := f.Settings.VM(vm)
	require.True(f.T, ok)
	return hostOf(v.Mesh)
}

// IPs returns the IP addresses of all VMs, running or not.
func (f *Fleet) IPs() []string {
	var l []string
	for _, v := range f.Settings.VMs {
		l = append(l, hostOf(v.Mesh))
	}
	return l
}

// EngineIP returns the IP address of the i-th engine, from 0.
func (f *Fleet) EngineIP(i int) string {
	return fmt.Sprintf("10.2.0.%d", i+1)
}

// VM returns the running VM with a name.
func (f *Fleet) VM(name string) *vm.VM {
	return f.running[name].vm
}

// Start starts a VM that is not running, a keeper with its disk as the last incarnation left it.
func (f *Fleet) Start(name string) {
	v, ok := f.Settings.VM(name)
	require.True(f.T, ok)
	c, err := f.issuer.Issue(name, time.Now())
	require.NoError(f.T, err)
	x, err := telemetry.New()
	require.NoError(f.T, err)
	d := vm.Deps{
		Telemetry:   x,
		Settings:    f.Settings,
		Name:        name,
		Network:     f.Net.Host(hostOf(v.Mesh)),
		Credentials: identity.New(c, f.issuer.Certificate),
		Log:         f.logger().With("vm", name),
	}
	if v.Keeper() {
		if f.Disks[name] == nil {
			f.Disks[name] = fakedisk.New()
		}
		d.Disk = f.Disks[name]
	}
	m, err := vm.New(d)
	require.NoError(f.T, err)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{vm: m, stop: stop, done: make(chan error, 1)}
	f.running[name] = p
	go func() { p.done <- m.Run(ctx) }()
}

// Stop stops a VM gracefully and returns the error of its Run.
func (f *Fleet) Stop(name string) error {
	p := f.running[name]
	delete(f.running, name)
	p.stop()
	return <-p.done
}

// Kill ends a VM as a power cut does: unsynced bytes are lost, and peers see no closed connection.
func (f *Fleet) Kill(name string) {
	p := f.running[name]
	delete(f.running, name)
	f.Net.Kill(f.IP(name))
	if d := f.Disks[name]; d != nil {
		d.Crash(0)
	}
	p.vm.Force()
	p.stop()
	<-p.done
}

// Await polls ok every 10 ms of virtual time until it holds, and fails the test after the limit; what
// names the condition.
func (f *Fleet) Await(limit time.Duration, what string, ok func() bool) {
	f.T.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			require.Failf(f.T, "not in time", "%s within %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Change commits ops through a VM, retrying for up to a minute while the commit fails, and returns the outcome.
func (f *Fleet) Change(vm string, ops ...catalog.Op) catalog.Outcome {
	f.T.Helper()
	f.changes++
	c := catalog.Change{ID: fmt.Sprint("test-change-", f.changes), Rebase: true, Author: "test", Ops: ops}
	var o catalog.Outcome
	f.Await(time.Minute, "change committed", func() bool {
		var err error
		o, err = f.running[vm].vm.Commit(context.Background(), c)
		return err == nil
	})
	return o
}

// Onboard configures the engines, the plain services and the accounts, waits until every running VM has this
// configuration, and returns the secret text of one key for each account.
func (f *Fleet) Onboard(vm string, accounts ...catalog.Account) []string {
	f.T.Helper()
	ops := []catalog.Op{{Service: &catalog.Service{
		Name:            "sprach-dienst",
		Kind:            catalog.Engine,
		Models:          []string{Model},
		ProgressTimeout: 5 * time.Second,
		Deadline:        time.Minute,
		QueueLimit:      256,
	}}}
	for i := range f.Engines {
		ops = append(ops, catalog.Op{Upstream: f.Upstream(i)})
	}
	ops = append(ops, f.plainOps()...)
	var keys []string
	for _, a := range accounts {
		s, err := access.Issue(a.Name, time.Now())
		require.NoError(f.T, err)
		keys = append(keys, s.Text)
		ops = append(ops, catalog.Op{Account: &a}, catalog.Op{Key: &s.Key})
	}
	o := f.Change(vm, ops...)
	f.Await(time.Minute, "configuration in force everywhere", func() bool {
		for _, p := range f.running {
			if p.vm.Copy().Current().Revision < o.Revision || !p.vm.Copy().Fresh() {
				return false
			}
		}
		return true
	})
	return keys
}

// Upstream returns the configuration entry of the i-th engine, from 0.
func (f *Fleet) Upstream(i int) *catalog.Upstream {
	return &catalog.Upstream{
		Name:          fmt.Sprintf("engine-%d", i+1),
		Service:       "sprach-dienst",
		Address:       f.EngineIP(i) + ":8500",
		DataCentre:    dataCentre(i),
		Slots:         f.shape.Engine.Slots,
		ChecksFencing: f.shape.Engine.ChecksFencing,
	}
}

// PlainIP returns the IP address of the i-th plain service, from 0.
func (f *Fleet) PlainIP(i int) string {
	return fmt.Sprintf("10.3.0.%d", i+1)
}

// Plain returns the configuration entry of the i-th plain service, from 0.
func (f *Fleet) Plain(i int) *catalog.Upstream {
	return &catalog.Upstream{
		Name:       fmt.Sprintf("plain-%d", i+1),
		Service:    "tour-app",
		Address:    f.PlainIP(i) + ":8600",
		DataCentre: dataCentre(i),
		Slots:      16,
	}
}

// plainOps returns the ops that configure the plain services and a repeatable, a non-repeatable and an open route.
func (f *Fleet) plainOps() []catalog.Op {
	if len(f.Plains) == 0 {
		return nil
	}
	ops := []catalog.Op{
		{Service: &catalog.Service{
			Name:            "tour-app",
			Kind:            catalog.Plain,
			ProgressTimeout: 2 * time.Second,
			Deadline:        20 * time.Second,
			QueueLimit:      256,
		}},
		{Route: &catalog.Route{Name: "status", PathPrefix: "/services/tour-app/status", Service: "tour-app", Repeatable: true}},
		{Route: &catalog.Route{Name: "dispatch", PathPrefix: "/services/tour-app/dispatch", Service: "tour-app"}},
		{Route: &catalog.Route{Name: "open", PathPrefix: "/services/tour-app/open", Service: "tour-app", Open: true, Repeatable: true}},
	}
	for i := range f.Plains {
		ops = append(ops, catalog.Op{Upstream: f.Plain(i)})
	}
	return ops
}

// Client returns an HTTP client that dials from CallerIP over the fleet's network.
func (f *Fleet) Client() *http.Client {
	h := f.Net.Host(CallerIP)
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return h.Dial(ctx, a) },
	}}
}

// URL returns the URL of a path at a VM's address for callers.
func (f *Fleet) URL(vm, path string) string {
	v, _ := f.Settings.VM(vm)
	return "http://" + v.Callers + path
}

// Chat returns a chat request for a prompt to a VM; tokens is the length of the response.
func (f *Fleet) Chat(ctx context.Context, vm, key, prompt string, tokens int, stream bool) *http.Request {
	b := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, Model, stream, tokens, prompt)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL(vm, "/v1/chat/completions"), bytes.NewReader([]byte(b)))
	require.NoError(f.T, err)
	q.Header.Set("Authorization", "Bearer "+key)
	return q
}

func (f *Fleet) startPlain(i int) {
	p := plain.New(fmt.Sprintf("plain-%d", i+1), 20*time.Millisecond)
	f.Plains = append(f.Plains, p)
	f.serve(f.PlainIP(i), ":8600", p)
}

func (f *Fleet) serve(ip, port string, h http.Handler) {
	l, err := f.Net.Host(ip).Listen(ip + port)
	require.NoError(f.T, err)
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (f *Fleet) startEngine(i int) {
	s := f.shape.Engine
	s.Name = fmt.Sprintf("engine-%d", i+1)
	e := engine.New(s)
	f.Engines = append(f.Engines, e)
	f.serve(f.EngineIP(i), ":8500", e.Handler())
}

func (f *Fleet) settings() settings.Settings {
	var s settings.Settings
	s.Fleet = "test"
	for i := range f.shape.Keepers {
		v := vmAt(fmt.Sprintf("keeper-%d", i+1), i)
		v.DataFolder = "memory"
		s.VMs = append(s.VMs, v)
	}
	for i := range f.shape.Entries {
		s.VMs = append(s.VMs, vmAt(fmt.Sprintf("entry-%d", i+1), f.shape.Keepers+i))
	}
	return s
}

func (f *Fleet) logger() *slog.Logger {
	if f.shape.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(f.shape.Log, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

func vmAt(name string, i int) settings.VM {
	h := fmt.Sprintf("10.1.0.%d", i+1)
	return settings.VM{
		Name:       name,
		DataCentre: dataCentre(i),
		Mesh:       h + ":7400",
		Callers:    h + ":8400",
		Operators:  h + ":9400",
	}
}

func dataCentre(i int) string {
	return fmt.Sprintf("dc-%c", 'a'+i%3)
}

func hostOf(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
