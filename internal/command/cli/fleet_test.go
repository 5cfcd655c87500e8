package cli

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"snipetack/internal/coordination/access"
	"snipetack/internal/coordination/placement"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/order"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/operator"
)

const (
	testToken = "op-test"
	fleetKey  = "fleet"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"snipetack": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestCommandLine runs the scripts in testdata against the real operator interface, with the fleet's state in memory.
func TestCommandLine(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup:               startFleet,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"lose-answer": func(s *testscript.TestScript, _ bool, _ []string) { fleetOf(s).dropNextResponse() },
			"compete":     func(s *testscript.TestScript, _ bool, _ []string) { fleetOf(s).compete() },
			"samples":     copySamples,
			"first-key":   firstKey,
		},
	})
}

// memoryFleet holds the state of the control group in memory, without keepers. It serves the real operator interface.
type memoryFleet struct {
	mu        sync.Mutex
	machine   *catalog.Machine
	dropNext  bool   // the response to the next POST is dropped
	competing bool   // another operator's change is applied before the next one
	lagging   uint64 // the revision at which entry-a last reported the one before
	drained   string
	jobs      []ledger.Job
}

// memoryLedger serves the fleet's batch jobs.
type memoryLedger struct {
	*memoryFleet
}

// memoryPlacement has keeper-a as the leader; one copy is loaded and the order for another is pending.
type memoryPlacement struct{}

func (p memoryPlacement) Call(ctx context.Context, vm string, _ frame.Kind, q []byte) ([]byte, error) {
	if vm != "keeper-a" {
		return nil, result.New(result.NoQuorum, "this keeper does not lead placement")
	}
	return operator.PlacementHandler(p)(ctx, vm, q)
}

func (memoryPlacement) State() order.State {
	return order.State{Upstreams: map[string]order.Placed{
		"engine-1": {Loaded: map[string]order.Held{"m-1": {}}, Role: "decode"},
		"engine-2": {Pending: &order.Intent{Action: order.Load, Target: "m-1", Fence: 7}},
	}}
}

func (memoryPlacement) Explain(_ context.Context, about string) ([]placement.Decision, bool) {
	l := []placement.Decision{
		{At: time.Unix(1, 0), Upstream: "engine-1", Action: order.Load, Target: "m-1", Reason: "0 of 2 copies"},
		{At: time.Unix(2, 0), Action: order.Load, Target: "m-1", Reason: "the weight store's rate is used up"},
	}
	if about == "engine-1" {
		return l[:1], true
	}
	return l, true
}

func startFleet(e *testscript.Env) error {
	f := &memoryFleet{machine: catalog.New()}
	created := time.Now().Add(-time.Hour)
	f.jobs = []ledger.Job{
		{ID: "batch_1", Account: "boards", Model: "m-1", Status: ledger.InProgress, CreatedAt: created, Due: created.Add(2 * time.Hour), Items: 100, Done: 90, Failed: 1},
		{ID: "batch_2", Account: "clerks", Model: "m-1", Status: ledger.InProgress, CreatedAt: created, Due: created.Add(2 * time.Hour), Items: 100, Done: 10},
	}
	o := operator.New(operator.Deps{
		Copy:    f,
		Change:  f,
		History: f,
		Reports: f,
		Token:   access.Digest(testToken),
		Log:     slog.New(slog.DiscardHandler),
	})
	operator.MountKeepers(o, fakeKeepers{})
	operator.MountJobs(o, memoryLedger{f}, nil)
	operator.MountPlacement(o, memoryPlacement{}, []string{"keeper-b", "keeper-a"})
	operator.MountBackup(o, fakeKeepers{})
	s := httptest.NewServer(f.dropResponses(o.Handler()))
	e.Defer(s.Close)
	e.Values[fleetKey] = f
	t := filepath.Join(e.WorkDir, "operator.token")
	e.Setenv("SNIPETACK_OPERATOR", strings.TrimPrefix(s.URL, "http://"))
	e.Setenv("SNIPETACK_TOKEN_FILE", t)
	return os.WriteFile(t, []byte(testToken+"\n"), 0o600)
}

func fleetOf(s *testscript.TestScript) *memoryFleet {
	return s.Value(fleetKey).(*memoryFleet)
}

func (f *memoryFleet) Current() *catalog.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Current()
}

func (f *memoryFleet) Fresh() bool { return true }

func (f *memoryFleet) Commit(_ context.Context, c catalog.Change) (catalog.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.competing {
		f.competing = false
		f.machine.Execute(catalog.Change{ID: "change-of-berta", Author: "berta", Rebase: true, Ops: []catalog.Op{
			{Operator: &catalog.Operator{Name: "berta", Digest: access.Digest("op-berta")}},
		}})
	}
	return f.machine.Execute(c), nil
}

func (f *memoryFleet) History(_ context.Context, after uint64) ([]catalog.Applied, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, _ := f.machine.Since(after)
	return l, nil
}

// Reports returns the reports of a keeper that leads and of an entry VM. The entry VM is one revision behind in the first
// report after each change.
func (f *memoryFleet) Reports(context.Context) []operator.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.machine.Current().Revision
	entry := operator.Report{VM: "entry-a", DataCentre: "dc-a", Revision: r, Age: 150 * time.Millisecond, Fresh: true, InFlight: map[string]int{"rounds-1": 2}, Waiting: map[string]int{"rounds": 5}}
	if f.lagging != r {
		f.lagging = r
		entry.Revision--
	} else if f.machine.Current().Upstreams["rounds-1"].Leaving {
		entry.InFlight = nil
	}
	entry.Draining = f.drained == entry.VM
	return []operator.Report{
		{VM: "keeper-a", DataCentre: "dc-b", Keeper: true, Revision: r, Age: 20 * time.Millisecond, Fresh: true, Leader: "keeper-a", Term: 3},
		entry,
	}
}

func (f *memoryFleet) Drain(_ context.Context, vm string) (operator.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vm != "entry-a" {
		return operator.Report{}, result.New(result.MalformedRequest, "the settings name no VM %q", vm)
	}
	f.drained = vm
	return operator.Report{VM: vm, Draining: true}, nil
}

// ReadLatest returns the jobs that match a query's account and id; an empty one matches all.
func (f *memoryFleet) ReadLatest(_ context.Context, q ledger.Query) (ledger.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var a ledger.Response
	for _, j := range f.jobs {
		if (q.Account == "" || q.Account == j.Account) && (q.ID == "" || q.ID == j.ID) {
			a.Jobs = append(a.Jobs, j)
		}
	}
	return a, nil
}

// Cancel sets a job's status to cancelling.
func (f memoryLedger) Cancel(_ context.Context, _ []string, c ledger.Cancel) (ledger.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, j := range f.jobs {
		if j.ID == c.Job {
			f.jobs[i].Status = ledger.Cancelling
			return ledger.Outcome{Job: &f.jobs[i]}, nil
		}
	}
	return ledger.Outcome{}, result.New(result.JobUnknown, "unknown")
}

func (f *memoryFleet) dropNextResponse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropNext = true
}

func (f *memoryFleet) compete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.competing = true
}

// dropResponses handles a POST and then drops the connection without a response, if dropNext is set.
func (f *memoryFleet) dropResponses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		lost := f.dropNext && r.Method == http.MethodPost
		f.dropNext = f.dropNext && !lost
		f.mu.Unlock()
		if !lost {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// firstKey sets KEY to the id in the first row below the heading of a list of keys.
func firstKey(s *testscript.TestScript, _ bool, args []string) {
	l := strings.Split(s.ReadFile(args[0]), "\n")
	s.Setenv("KEY", strings.Fields(l[1])[0])
}

// copySamples copies the example answers of two companies into the script's folder.
func copySamples(s *testscript.TestScript, _ bool, _ []string) {
	for _, n := range []string{"alpweide.jsonc", "tihend.jsonc"} {
		b, err := os.ReadFile(filepath.Join(repository, "examples", "answers", n))
		s.Check(err)
		s.Check(os.WriteFile(s.MkAbs(n), b, 0o600))
	}
}

// repository is the module's root as seen from this package.
const repository = "../../.."
