package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Classes of VMs.
const (
	entryClass   = "entry"
	controlClass = "control"
	batchClass   = "batch"
)

// Ports of the VMs and of the stand-ins.
const (
	callersPort   = "8405"
	readyPort     = "8406"
	operatorsPort = "8407"
	listPort      = "8408"
	replicaPort   = "8080"
	firstPort     = 7660
)

// Memory of a machine in MB, by the sheet of Alpweide.
const (
	entryMemory   = 284
	controlMemory = 280
	batchMemory   = 324
)

const (
	restartDelay = 500 * time.Millisecond // until the platform restarts a process that has ended
	memoryCheck  = 100 * time.Millisecond // between checks of the memory of processes
	subnets      = 200
)

// vm is one process of the deployment. Other VMs reach it through its proxy, which can cut connections.
type vm struct {
	name, class string
	ip, bind    string // of the proxy and of the process
	memory      int    // MB; a process that uses more is killed
	settings    string // path
	proxy       *proxy

	mu       sync.Mutex
	process  *os.Process
	stopped  bool
	overuses int // kills for memory
	ends     int // all ends
	peak     int // MB
}

// fleet is a deployment with its platform.
type fleet struct {
	*record
	binary string
	folder string
	subnet int
	list   *list
	cuts   *cuts
	vms    []*vm
	group  sync.WaitGroup
	done   chan struct{}
}

// newFleet returns a fleet without VMs on a free subnet of the loopback addresses, whose list of replicas is served.
func newFleet(binary string, r *record) (*fleet, error) {
	b, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(b); err != nil {
		return nil, err
	}
	d, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, binary: b, folder: d, cuts: &cuts{}, done: make(chan struct{})}
	for i := range subnets {
		f.subnet = (os.Getpid()+i)%subnets + 20
		if f.list, err = newList(f.address(9, 1) + ":" + listPort); err == nil {
			return f, nil
		}
	}
	return nil, errors.Join(err, os.RemoveAll(d))
}

// address returns a loopback address: kind is 1 for processes, 2 for proxies, 8 for replicas and 9 for the platform.
func (f *fleet) address(kind, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.subnet, kind, i)
}

// add adds n VMs of a class.
func (f *fleet) add(class string, n, memory int) {
	for i := range n {
		k := len(f.vms) + 1
		f.vms = append(f.vms, &vm{name: fmt.Sprintf("%s-%d", class, i+1), class: class, ip: f.address(2, k), bind: f.address(1, k), memory: memory})
	}
}

// of returns the VMs of a class.
func (f *fleet) of(class string) []*vm {
	var l []*vm
	for _, v := range f.vms {
		if v.class == class {
			l = append(l, v)
		}
	}
	return l
}

// linkPort returns the port at which a VM accepts connections of others.
func (v *vm) linkPort() string {
	offset := map[string]int{entryClass: 0, controlClass: 1, batchClass: 2}[v.class]
	return strconv.Itoa(firstPort + offset)
}

// start starts all VMs for the first time.
func (f *fleet) start() error {
	for _, v := range f.vms {
		p, err := newProxy(f.cuts, v.ip, net.JoinHostPort(v.ip, v.linkPort()), net.JoinHostPort(v.bind, v.linkPort()))
		if err != nil {
			return err
		}
		v.proxy = p
	}
	for _, v := range f.vms {
		if err := f.spawn(v, true); err != nil {
			return err
		}
	}
	f.group.Go(f.watchMemory)
	return nil
}

// spawn writes the settings of a VM as the template of the deploy file has them, and starts its process.
func (f *fleet) spawn(v *vm, bootstrap bool) error {
	var seeds []string
	for _, c := range f.of(controlClass)[:3] {
		seeds = append(seeds, c.ip+":"+operatorsPort)
	}
	s := map[string]any{
		"vm": v.name, "class": v.class, "zone": "ch-mitte-a", "ip": v.ip, "bind_ip": v.bind, "first_port": firstPort, "seeds": seeds,
		"bootstrap": bootstrap, "data": "", "callers": "", "ready": "", "operators": "", "metrics": v.bind + ":9464",
		"list": map[string]any{"address": f.list.address, "rate_per_s": 40}, "losses": 1, "cores": 1, "memory_mb": v.memory,
		"max_files": 4096, "grace_s": 8, "stale_after_s": 0, "quota_slack": 20, "retention_s": 120,
	}
	if v.class == entryClass {
		s["callers"], s["ready"] = v.bind+":"+callersPort, v.bind+":"+readyPort
	} else {
		s["data"] = filepath.Join(f.folder, v.name)
	}
	if v.class == controlClass {
		s["operators"] = v.bind + ":" + operatorsPort
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	v.settings = filepath.Join(f.folder, v.name+".jsonc")
	if err := os.WriteFile(v.settings, b, 0o600); err != nil {
		return err
	}
	return f.exec(v)
}

// exec starts the process of a VM and restarts it when it ends.
func (f *fleet) exec(v *vm) error {
	log, err := os.OpenFile(filepath.Join(f.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	null, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	defer null.Close()
	env := []string{"SNIPETACK_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p, err := os.StartProcess(f.binary, []string{"snipetack", "node"}, &os.ProcAttr{Dir: f.folder, Env: env, Files: []*os.File{null, log, log}})
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = p
	f.group.Go(func() { f.await(v, p) })
	return nil
}

// await restarts a process after its end, unless the run is over.
func (f *fleet) await(v *vm, p *os.Process) {
	s, err := p.Wait()
	v.mu.Lock()
	v.process = nil
	v.ends++
	stopped := v.stopped
	v.mu.Unlock()
	if stopped {
		return
	}
	f.note("process of %s has ended: %v %v", v.name, s, err)
	select {
	case <-f.done:
		return
	case <-time.After(restartDelay):
	}
	if err := f.spawn(v, false); err != nil {
		f.note("%s not restarted: %v", v.name, err)
	}
}

// watchMemory kills processes that use more memory than their machine has, as the platform does.
func (f *fleet) watchMemory() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(memoryCheck):
		}
		for _, v := range f.vms {
			v.checkMemory(f)
		}
	}
}

func (v *vm) checkMemory(f *fleet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	used := residentMB(v.process.Pid)
	v.peak = max(v.peak, used)
	if used > v.memory {
		v.overuses++
		f.note("%s uses %d MB of memory, over its limit of %d MB: killed", v.name, used, v.memory)
		_ = v.process.Kill() // it may have ended meanwhile
	}
}

// residentMB returns the resident memory of a process in MB; 0 when it has ended.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range bytes.Lines(b) {
		if v, ok := bytes.CutPrefix(l, []byte("VmRSS:")); ok {
			n, _ := strconv.Atoi(string(bytes.Fields(v)[0]))
			return n >> 10
		}
	}
	return 0
}

// signal sends a signal to the process of a VM.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Signal(s) // it may have ended meanwhile
	}
}

// close ends all processes and removes the folder; the logs are kept where REVIEW_LOGS names a folder.
func (f *fleet) close() {
	close(f.done)
	for _, v := range f.vms {
		v.mu.Lock()
		v.stopped = true
		v.mu.Unlock()
		v.signal(syscall.SIGKILL)
	}
	f.group.Wait()
	for _, v := range f.vms { // one may have been restarted just before
		v.signal(syscall.SIGKILL)
		if v.proxy != nil {
			v.proxy.close()
		}
		f.line("%s: peak memory %d MB, %d ends, %d of them for memory", v.name, v.peak, v.ends, v.overuses)
	}
	f.group.Wait()
	f.list.close()
	if d := os.Getenv("REVIEW_LOGS"); d != "" {
		_ = os.CopyFS(d, os.DirFS(f.folder))
	}
	_ = os.RemoveAll(f.folder)
}

// awaitReady waits until all entry VMs are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, v := range f.of(entryClass) {
		for {
			if a := f.call(ctx, request{method: "GET", address: v.bind + ":" + readyPort, path: "/snipetack/ready"}); a.status == 200 {
				break
			}
			if !pause(ctx, 100*time.Millisecond) {
				return fmt.Errorf("%s is not ready", v.name)
			}
		}
	}
	return nil
}

// pause waits and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
