package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines.
const (
	frontPort   = "8405"
	readyPort   = "8406"
	controlPort = "8407"
	listPort    = "8408"
	replicaPort = "8080"
	firstPort   = 7660
)

// Sizes and times.
const (
	replicas     = 9
	sampleTime   = 20 * time.Millisecond
	serviceTime  = 30 * time.Second // until the fleet serves
	retryTime    = 200 * time.Millisecond
	firstSubnet  = 20
	lastSubnet   = 220
	kilobytes    = 1 << 10
	filePerm     = 0o600
	foldersPerm  = 0o700
	servicesName = "modeller"
	host         = "ficu95.example"
	key          = "2b9wu3fexd9dnn2ctnfz"
)

// machine is one machine of the system, with one process.
type machine struct {
	Name, Class, IP, Zone string
	MemoryMB              int
}

// plan is what prepare decides for play.
type plan struct {
	Subnet   int
	Machines []machine
}

func (p plan) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", p.Subnet, kind, i) }

// bindIP returns the address at which a core machine listens for links; others reach it through a proxy.
func (p plan) bindIP(m machine) string {
	return strings.Replace(m.IP, fmt.Sprintf("127.%d.1.", p.Subnet), fmt.Sprintf("127.%d.11.", p.Subnet), 1)
}

// list returns the address of the platform's list.
func (p plan) list() string { return net.JoinHostPort(p.ip(4, 1), listPort) }

// freeSubnet returns the second octet of loopback addresses that nothing listens at.
func freeSubnet() (int, error) {
	for i := firstSubnet; i < lastSubnet; i++ {
		n := firstSubnet + (i+os.Getpid())%(lastSubnet-firstSubnet)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(plan{Subnet: n}.ip(4, 1), listPort))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// prepare writes the settings of all machines to a folder.
func prepare(dir string, s scenario) error {
	n, err := freeSubnet()
	if err != nil {
		return err
	}
	p := plan{Subnet: n}
	zones := []string{"ch-mitte-a", "ch-mitte-b", "ch-mitte-c"}
	for i := range 3 {
		p.Machines = append(p.Machines, machine{Name: fmt.Sprint("core-", i+1), Class: "control", IP: p.ip(1, i+1), Zone: zones[i], MemoryMB: s.memory.core},
			machine{Name: fmt.Sprint("store-", i+1), Class: "batch", IP: p.ip(2, i+1), Zone: zones[i], MemoryMB: s.memory.store})
	}
	for i := range s.fronts {
		p.Machines = append(p.Machines, machine{Name: fmt.Sprint("front-", i+1), Class: "entry", IP: p.ip(3, i+1), Zone: zones[i%len(zones)], MemoryMB: s.memory.front})
	}
	for _, m := range p.Machines {
		for suffix, bootstrap := range map[string]bool{".jsonc": true, ".second": false} {
			if err := writeJSON(filepath.Join(dir, m.Name+suffix), settings(dir, p, m, bootstrap)); err != nil {
				return err
			}
		}
	}
	return writeJSON(filepath.Join(dir, "plan.json"), p)
}

// settings returns the settings of a machine, as the template of the deploy file has them.
func settings(dir string, p plan, m machine, bootstrap bool) map[string]any {
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, net.JoinHostPort(p.ip(1, i+1), controlPort))
	}
	x := map[string]any{"vm": m.Name, "class": m.Class, "zone": m.Zone, "ip": m.IP, "first_port": firstPort, "seeds": seeds, "bootstrap": bootstrap,
		"data": "", "callers": "", "ready": "", "operators": "", "metrics": net.JoinHostPort(m.IP, "9464"),
		"list": map[string]any{"address": p.list(), "rate_per_s": 40, "lag_ms": 800}, "losses": 1, "cores": 1, "memory_mb": m.MemoryMB, "max_files": 4200,
		"grace_s": 8, "stale_after_s": 0, "quota_slack": 20, "retention_s": 120,
		"bind_ip":   m.IP,
		"zones":     map[string]string{"ch-mitte-a": "ch-mitte", "ch-mitte-b": "ch-mitte", "ch-mitte-c": "ch-mitte"},
		"contracts": []string{"base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "tenants", "quota"}}
	switch m.Class {
	case "entry":
		x["callers"], x["ready"] = net.JoinHostPort(m.IP, frontPort), net.JoinHostPort(m.IP, readyPort)
	case "control":
		x["bind_ip"] = p.bindIP(m)
		x["operators"] = net.JoinHostPort(m.IP, controlPort)
		x["data"] = filepath.Join(dir, m.Name)
	default:
		x["data"] = filepath.Join(dir, m.Name)
	}
	return x
}

func writeJSON(file string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, filePerm)
}

// stage is a running deployment with its stand-ins.
type stage struct {
	plan
	*record
	dir      string
	trouble  bool
	replicas []*replica
	proxies  []*proxy // of the core machines

	mu    sync.Mutex
	peaks map[string]int // MiB, by machine
	kills map[string]int // by the platform for memory over the limit, by machine
}

// newStage starts the stand-ins of a deployment whose processes start beside it.
func newStage(dir string, s scenario, r *record) (*stage, error) {
	x := &stage{record: r, dir: dir, trouble: os.Getenv("TROUBLE") != "0", peaks: map[string]int{}, kills: map[string]int{}}
	b, err := os.ReadFile(filepath.Join(dir, "plan.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(b, &x.plan); err != nil {
		return nil, err
	}
	zones := []string{"ch-mitte-a", "ch-mitte-b", "ch-mitte-c"}
	for i := range replicas {
		p := newReplica(r, fmt.Sprint("i-", i+1), net.JoinHostPort(x.ip(5, i+1), replicaPort), zones[i%len(zones)])
		if err := p.start(oldVersion); err != nil {
			return nil, err
		}
		x.replicas = append(x.replicas, p)
	}
	if err := listenAndServe(x.list(), http.HandlerFunc(x.serveList)); err != nil {
		return nil, err
	}
	for _, m := range x.Machines {
		if m.Class != "control" {
			continue
		}
		port := strconv.Itoa(firstPort + 1)
		p, err := newProxy(net.JoinHostPort(m.IP, port), net.JoinHostPort(x.bindIP(m), port))
		if err != nil {
			return nil, err
		}
		x.proxies = append(x.proxies, p)
	}
	go x.watchMemory()
	r.note("memory in MiB: front %d, core %d, store %d; with disruption: %t", s.memory.front, s.memory.core, s.memory.store, x.trouble)
	return x, nil
}

func listenAndServe(address string, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return nil
}

// serveList serves the platform's list on one page.
func (x *stage) serveList(w http.ResponseWriter, _ *http.Request) {
	var l []map[string]any
	for _, p := range x.replicas {
		e := p.listed()
		l = append(l, map[string]any{"id": p.id, "service": servicesName, "addr": p.address, "zone": p.zone, "version": e.version, "slots": slots,
			"state": "ready", "coldLeftMs": 0, "born": e.born.UnixMilli()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": l, "nextToken": nil})
}

// pid returns the process of a machine, or 0 when none runs.
func (x *stage) pid(name string) int {
	b, err := os.ReadFile(filepath.Join(x.dir, name+".pid"))
	if err != nil {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(string(b)))
	if err != nil {
		return 0
	}
	return n
}

// signal sends a signal to the process of a machine.
func (x *stage) signal(name string, s syscall.Signal) {
	if n := x.pid(name); n > 0 {
		_ = syscall.Kill(n, s)
	}
}

// watchMemory kills each process that uses more memory than its machine has, as the platform does.
func (x *stage) watchMemory() {
	for {
		for _, m := range x.Machines {
			n := residentMB(x.pid(m.Name))
			x.mu.Lock()
			x.peaks[m.Name] = max(x.peaks[m.Name], n)
			if n > m.MemoryMB {
				x.kills[m.Name]++
			}
			x.mu.Unlock()
			if n > m.MemoryMB {
				x.note("the platform kills %s, which uses %d MiB of %d", m.Name, n, m.MemoryMB)
				x.signal(m.Name, syscall.SIGKILL)
				time.Sleep(sampleTime)
			}
		}
		time.Sleep(sampleTime)
	}
}

// residentMB returns the memory that a process uses, in MiB.
func residentMB(pid int) int {
	if pid <= 0 {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, v, ok := strings.Cut(string(b), "VmRSS:")
	f := strings.Fields(v)
	if !ok || len(f) == 0 {
		return 0
	}
	n, err := strconv.Atoi(f[0])
	if err != nil {
		return 0
	}
	return n / kilobytes
}

// notePeaks notes the most memory that each process has used.
func (x *stage) notePeaks() {
	x.mu.Lock()
	var l []string
	for _, m := range x.Machines {
		l = append(l, fmt.Sprintf("%s %d of %d", m.Name, x.peaks[m.Name], m.MemoryMB))
	}
	x.mu.Unlock()
	slices.Sort(l)
	x.note("most memory used, in MiB: %s", strings.Join(l, ", "))
}

// fronts returns the addresses at which clients reach the fronts.
func (x *stage) fronts() []string {
	var l []string
	for _, m := range x.Machines {
		if m.Class == "entry" {
			l = append(l, net.JoinHostPort(m.IP, frontPort))
		}
	}
	return l
}

// awaitService puts the first configuration in force and waits until every front serves a request.
func (x *stage) awaitService(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, serviceTime)
	defer cancel()
	if !x.put(ctx, configuration(1)) {
		return false
	}
	for i, f := range x.fronts() {
		for n := 0; ; n++ {
			a := x.call(ctx, "POST", f, "/lohu930/2f", []byte("body"), map[string]string{"X-Snipetack-Request-Id": fmt.Sprintf("first%d-%d", i, n),
				"X-Snipetack-Deadline-Ms": "5000", "X-Snipetack-Token-Count": "10,60"})
			if a.status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return false
			}
			time.Sleep(retryTime)
		}
	}
	x.note("every front serves")
	return true
}

// put sends a configuration to the control machines in turn until one acknowledges it.
func (x *stage) put(ctx context.Context, document string) bool {
	for i := 0; ctx.Err() == nil; i++ {
		a := x.call(ctx, "POST", net.JoinHostPort(x.ip(1, i%3+1), controlPort), "/snipetack/Config.Put", []byte(document), nil)
		if a.status == http.StatusOK {
			x.note("configuration acknowledged")
			return true
		}
		time.Sleep(retryTime)
	}
	return false
}

// configuration returns a configuration with a stream route, and a batch route for jobs.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-stream","host":%q,"pathPrefix":"/lohu930/","kind":"stream","timeoutMs":5000,"sloMs":300,"priority":0,"service":%q,"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":300},
{"name":"r-batch","host":%q,"pathPrefix":"/pule252/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,"service":%q,"maxAttempts":3,"public":false,"sticky":true,"resumable":true,"gapAimMs":300,"dueMs":18000,"maxWaitS":60,"maxPending":740000}],
"services":[{"name":%q,"healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":72000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0},{"name":"nuki114","apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}]}`,
		version, host, servicesName, host, servicesName, servicesName, key, otherKey)
}
