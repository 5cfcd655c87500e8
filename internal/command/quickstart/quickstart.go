package quickstart

import (
	"context"
	_ "embed" // for answers.jsonc
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"snipetack/internal/command/questionnaire"
	"snipetack/internal/coordination/access"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/network"
)

// answers is the team's questionnaire; the placeholders {{...}} stand for the upstreams' addresses.
//
//go:embed answers.jsonc
var answers string

// Sizes and time limits of the demonstration.
const (
	itemCount      = 200
	failingItems   = 2                // items that the engines always fail
	itemTokens     = 24               // max tokens of a batch item
	responseTokens = 12               // max tokens of the online response
	readyTimeout   = 15 * time.Second // until all VMs have the configuration
	jobTimeout     = 35 * time.Second // from submission until the batch job is complete
	pollInterval   = 100 * time.Millisecond
	lostKeeper     = "vm-2" // killed during the batch job
	entryVM        = "vm-5" // receives the change and all calls; not a keeper
)

// Options are the settings of a quickstart; Out, Log and Network are required.
type Options struct {
	Out     io.Writer    // progress and results
	Log     *slog.Logger // log lines of the VMs
	Network network.Network
	Keep    bool // continues to serve after the batch job, until the context ends
}

// walkthrough is one run of the quickstart: its fleet, and what is printed at the end.
type walkthrough struct {
	o          Options
	fleet      *fleet
	http       *http.Client
	keys       map[string]string // by account
	firstToken time.Duration     // time to first token of the online response
	refused    []string          // descriptions of the refused calls
}

// Run starts a fleet and demonstrates its main functions. It returns an error unless each accepted batch item has exactly
// one result.
func Run(ctx context.Context, o Options) error {
	d, err := os.MkdirTemp("", "snipetack-quickstart-")
	if err != nil {
		return errors.Wrap(err, "creating the keepers' data folder")
	}
	s, err := newFleet(o.Network, d, access.Digest(uuid.NewString()), o.Log)
	if err != nil {
		return err
	}
	h := &http.Transport{DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return o.Network.Dial(ctx, a) }}
	defer h.CloseIdleConnections()
	t := &walkthrough{o: o, fleet: s, keys: map[string]string{}, http: &http.Client{Transport: h}}
	err = t.run(ctx)
	if e := s.stop(); err == nil {
		err = e
	}
	return err
}

func (t *walkthrough) run(ctx context.Context) error {
	for _, f := range []func(context.Context) error{t.onboard, t.online, t.refusals, t.batch} {
		if err := f(ctx); err != nil {
			return err
		}
	}
	if !t.o.Keep {
		return nil
	}
	t.printAddresses()
	<-ctx.Done()
	return nil
}

// onboard commits the team's configuration and waits until all VMs have it.
func (t *walkthrough) onboard(ctx context.Context) error {
	t.printLine("7 VMs on loopback, 3 of them keepers; 2 stand-in engines; 1 plain service")
	r := strings.NewReplacer("{{engine-1}}", t.fleet.engineAddresses[0], "{{engine-2}}", t.fleet.engineAddresses[1], "{{tour-1}}", t.fleet.plainAddress)
	a, err := questionnaire.Decode("answers.jsonc", []byte(r.Replace(answers)))
	if err != nil {
		return err
	}
	p, err := questionnaire.Generate(a, catalog.NewConfiguration(), time.Now())
	if err != nil {
		return err
	}
	o, err := t.fleet.vms[entryVM].vm.Commit(ctx, p.Change("quickstart-"+uuid.NewString()))
	if err != nil {
		return errors.Wrap(err, "onboarding the team")
	}
	if o.Code != result.OK {
		return errors.Errorf("onboarding the team: %s: %s", o.Code.Meaning().Name, o.Detail)
	}
	for _, s := range p.Secrets {
		t.keys[s.Key.Account] = s.Text
	}
	t.printLine("team %s onboarded: revision %d, %d edits, %d keys", a.Team, o.Revision, len(p.Ops), len(p.Secrets))
	return t.awaitRevision(ctx, o.Revision)
}

// awaitRevision waits until every VM may admit requests with keys and its copy of the configuration has the revision.
func (t *walkthrough) awaitRevision(ctx context.Context, revision uint64) error {
	end := time.Now().Add(readyTimeout)
	for n, m := range t.fleet.vms {
		for !m.vm.Copy().Fresh() || m.vm.Copy().Current().Revision < revision {
			if time.Now().After(end) || !pause.For(ctx, pollInterval) {
				return errors.Errorf("VM %s is not ready with revision %d within %s", n, revision, readyTimeout)
			}
		}
	}
	t.printLine("revision %d is in force at all %d VMs", revision, len(t.fleet.vms))
	return nil
}

// online streams a response of an engine and calls the plain service.
func (t *walkthrough) online(ctx context.Context) error {
	a, err := t.callerFor("drivers").stream(ctx, "Which farm comes first this morning, and by which road?", responseTokens)
	if err != nil {
		return errors.Wrap(err, "streaming an online response")
	}
	if !a.complete {
		return errors.New("the streamed response ended before [DONE]")
	}
	t.firstToken = a.firstToken
	t.printLine("streamed answer, first token after %s: %s", a.firstToken.Round(time.Millisecond/10), strings.TrimSpace(a.text))
	b, err := t.callerFor("drivers").call(ctx, "/services/tour-app/tours", "north round")
	if err != nil {
		return errors.Wrap(err, "calling the plain service")
	}
	t.printLine("plain service: %s", strings.TrimSpace(b))
	return nil
}

// refusals makes calls that must be refused and records the errors that the caller gets.
func (t *walkthrough) refusals(ctx context.Context) error {
	c := t.callerFor("drivers")
	c.key = "sk-nobody"
	_, err := c.stream(ctx, "hello", 1)
	if err := t.expectRefusal("unknown key", err, result.KeyUnknown); err != nil {
		return err
	}
	_, err = t.callerFor("farm-statements").call(ctx, "/services/tour-app/tours", "x")
	if err := t.expectRefusal("route of another account", err, result.RouteDenied); err != nil {
		return err
	}
	_, err = t.callerFor("farm-statements").upload(ctx, "broken.jsonl", []byte(item(0)+"\n{broken\n"))
	return t.expectRefusal("file with a bad line", err, result.FileInvalid)
}

// expectRefusal verifies that err is a refusal with the code and that nothing was run, and records it.
func (t *walkthrough) expectRefusal(what string, err error, want result.Code) error {
	var r refusal
	if !errors.As(err, &r) || r.code != want || r.ran != result.NotRun {
		return errors.Errorf("%s: want a refusal with code %d and not_run, got: %v", what, int(want), err)
	}
	t.refused = append(t.refused, fmt.Sprintf("%s: %s", what, r.Error()))
	return nil
}

// batch uploads and submits a batch job, and reports its results.
func (t *walkthrough) batch(ctx context.Context) error {
	var b strings.Builder
	for i := range itemCount {
		b.WriteString(item(i) + "\n")
	}
	c := t.callerFor("farm-statements")
	f, err := c.upload(ctx, "statements.jsonl", []byte(b.String()))
	if err != nil {
		return errors.Wrap(err, "uploading the farm statements")
	}
	j, err := c.submit(ctx, f.ID)
	if err != nil {
		return errors.Wrap(err, "submitting the batch job")
	}
	t.printLine("batch job %s accepted: %d items, %d of which can never be completed", j.ID, itemCount, failingItems)
	j, err = t.watch(ctx, c, j.ID)
	if err != nil {
		return err
	}
	return t.report(ctx, c, j)
}

// watch polls the job until it is complete and prints progress. It kills a keeper when a quarter of the items have results.
func (t *walkthrough) watch(ctx context.Context, c caller, id string) (batchJob, error) {
	end := time.Now().Add(jobTimeout)
	shown := -1
	lost := false
	for {
		j, err := c.job(ctx, id)
		if err != nil {
			return j, errors.Wrap(err, "reading the status of the batch job")
		}
		done := j.Counts.Completed + j.Counts.Failed
		if done/50 != shown {
			shown = done / 50
			t.printLine("  %d of %d items ended", done, itemCount)
		}
		if !lost && done >= itemCount/4 {
			lost = true
			t.fleet.kill(lostKeeper)
			t.printLine("  keeper %s is lost", lostKeeper)
		}
		if j.Status == "completed" {
			return j, nil
		}
		if time.Now().After(end) || !pause.For(ctx, pollInterval) {
			return j, errors.Errorf("the batch job is %s with %d of %d items ended after %s", j.Status, done, itemCount, jobTimeout)
		}
	}
}

// report reads the results, prints a summary, and verifies that each item has exactly one result and that failingItems
// items have failed.
func (t *walkthrough) report(ctx context.Context, c caller, j batchJob) error {
	good, err := c.lines(ctx, j.OutputFile)
	if err != nil {
		return errors.Wrap(err, "reading the results")
	}
	bad, err := c.lines(ctx, j.ErrorFile)
	if err != nil {
		return errors.Wrap(err, "reading the errors")
	}
	ended := map[string]int{}
	reasons := map[string]int{}
	for i, l := range append(append([]string(nil), good...), bad...) {
		var e struct {
			ID    string `json:"custom_id"`
			Error *struct {
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(l), &e); err != nil {
			return errors.Wrapf(err, "reading result line %d", i+1)
		}
		ended[e.ID]++
		if e.Error != nil {
			reasons[e.Error.Message]++
		}
	}
	t.printSummary(len(good), len(bad), reasons)
	for i := range itemCount {
		if n := ended[itemID(i)]; n != 1 {
			return errors.Errorf("item %s has %d results, want 1", itemID(i), n)
		}
	}
	if len(bad) != failingItems {
		return errors.Errorf("%d items failed, want %d", len(bad), failingItems)
	}
	t.printLine("each of the %d accepted items ended exactly once", itemCount)
	return nil
}

func (t *walkthrough) printSummary(good, bad int, reasons map[string]int) {
	w := tabwriter.NewWriter(t.o.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "items completed\t%d\n", good)
	fmt.Fprintf(w, "items failed\t%d\n", bad)
	for r, n := range reasons {
		fmt.Fprintf(w, "  reason (%d)\t%s\n", n, r)
	}
	fmt.Fprintf(w, "time to first token\t%s\n", t.firstToken.Round(time.Millisecond/10))
	for _, r := range t.refused {
		fmt.Fprintf(w, "refused\t%s\n", r)
	}
	_ = w.Flush()
}

// printAddresses prints the addresses of the VMs still running, and a command to try.
func (t *walkthrough) printAddresses() {
	v, _ := t.fleet.settings.VM(entryVM)
	t.printLine("serving until interrupted; callers' addresses:")
	for _, v := range t.fleet.settings.VMs {
		if !t.fleet.vms[v.Name].lost {
			t.printLine("  %s http://%s", v.Name, v.Callers)
		}
	}
	t.printLine("try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		`-d '{"model":"sprach-1","stream":true,"messages":[{"role":"user","content":"good morning"}]}'`, v.Callers, t.keys["drivers"])
}

// callerFor returns a caller with the account's key, at entryVM.
func (t *walkthrough) callerFor(account string) caller {
	v, _ := t.fleet.settings.VM(entryVM)
	return caller{base: "http://" + v.Callers, key: t.keys[account], http: t.http}
}

func (t *walkthrough) printLine(format string, args ...any) {
	fmt.Fprintf(t.o.Out, format+"\n", args...)
}

// item returns line i of the batch file. The first failingItems prompts hold the word "unreadable", which the stand-in
// engines always refuse (engine.Faults.FailItems).
func item(i int) string {
	p := fmt.Sprintf("Write the farm statement of farm %d for November.", i)
	if i < failingItems {
		p = fmt.Sprintf("Read the unreadable collection note of farm %d.", i)
	}
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":`+
		`{"model":"sprach-1","max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`, itemID(i), itemTokens, p)
}

func itemID(i int) string {
	return fmt.Sprintf("statement-%03d", i)
}
