package replica_test

import (
	"context"
	"slices"
	"time"
)

// modelFaultsAtOnce is how many faults run at the same time, of which some lose no VM.
const modelFaultsAtOnce = modelLosses + 1

// modelFaults are the faults of a single VM that takes some time, by name. Each is called without f.mu, on a VM that
// counts as lost until it returns and for modelRejoin after.
func modelFaults() map[string]func(*modelVM, time.Duration) {
	return map[string]func(*modelVM, time.Duration){
		"kill": func(v *modelVM, d time.Duration) { v.restart(false, false, d) },
		"power": func(v *modelVM, d time.Duration) {
			v.restart(true, false, d)
		},
		"kill, then power": func(v *modelVM, d time.Duration) {
			v.restart(false, false, 20*time.Millisecond)
			time.Sleep(d / 50)
			v.restart(true, false, d)
		},
		"wipe":     func(v *modelVM, d time.Duration) { v.restart(true, true, d) },
		"pause":    (*modelVM).pause,
		"cut":      func(v *modelVM, d time.Duration) { v.cutOff(true, true, d) },
		"cut in":   func(v *modelVM, d time.Duration) { v.cutOff(true, false, d) },
		"cut out":  func(v *modelVM, d time.Duration) { v.cutOff(false, true, d) },
		"slow":     (*modelVM).slowDown,
		"replace":  (*modelVM).replace,
		"rolling":  (*modelVM).rolling,
		"transfer": func(v *modelVM, _ time.Duration) { v.transfer() },
		"leave":    (*modelVM).leave,
	}
}

func (v *modelVM) restart(power, wipe bool, d time.Duration) {
	v.end(power)
	if wipe {
		v.wipe()
	}
	time.Sleep(d)
	v.start()
}

func (v *modelVM) wipe() {
	v.disk.Wipe()
	v.formattedAt = time.Now()
	v.diskLostUntil = time.Now().Add(modelRejoin)
}

func (v *modelVM) pause(d time.Duration) {
	v.f.mu.Lock()
	p := make(chan struct{})
	v.resume = p
	v.f.mu.Unlock()
	time.Sleep(d)
	v.f.mu.Lock()
	same := v.resume == p
	if same {
		v.resume = nil
	}
	v.f.mu.Unlock()
	if same {
		close(p)
	}
}

// cutOff loses the frames to or from a VM, or both.
func (v *modelVM) cutOff(in, out bool, d time.Duration) {
	f := v.f
	set := func(cut bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for n := range f.vms {
			for _, k := range [][2]string{{n, v.name}, {v.name, n}} {
				if k[0] == v.name && out || k[1] == v.name && in {
					f.cut[k] = cut
				}
			}
		}
	}
	set(true)
	time.Sleep(d)
	set(false)
}

// slowDown makes the VM's disk and links slow.
func (v *modelVM) slowDown(d time.Duration) {
	set := func(disk, link time.Duration) {
		v.f.mu.Lock()
		defer v.f.mu.Unlock()
		v.slow = link
		v.disk.SetSyncDelay(disk)
	}
	set(200*time.Millisecond, 150*time.Millisecond)
	time.Sleep(d)
	v.f.mu.Lock()
	disk := v.f.syncDelay()
	v.f.mu.Unlock()
	set(disk, 0)
}

// replace removes a VM for good and starts one with another name. The lost one counts until the new one has rejoined.
func (v *modelVM) replace(d time.Duration) {
	f := v.f
	v.end(true)
	time.Sleep(d)
	f.mu.Lock()
	n := f.remove(v)
	f.mu.Unlock()
	n.start()
}

// remove removes a VM and adds its successor, which counts as lost instead; f.mu is held.
func (f *fleetModel) remove(v *modelVM) *modelVM {
	f.names = slices.DeleteFunc(f.names, func(n string) bool { return n == v.name })
	if i := slices.Index(f.seeds, v.name); i >= 0 {
		f.seeds = slices.Clone(f.seeds)
		f.seeds[i] = f.names[f.rand.IntN(len(f.names))]
	}
	n := f.addVM()
	n.lostUntil = time.Now().Add(modelRejoin)
	n.diskLostUntil = n.lostUntil
	v.lostUntil = time.Now()
	f.note("%s is replaced by %s", v.name, n.name)
	return n
}

// transfer transfers the leadership of the VM that leads.
func (v *modelVM) transfer() {
	f := v.f
	f.mu.Lock()
	for _, n := range f.running() {
		if _, _, ok := f.vms[n].replica.Lease(0); ok {
			v = f.vms[n]
		}
	}
	r := v.replica
	f.mu.Unlock()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	_ = r.Transfer(ctx)
}

// rolling stops a VM as a planned stop does, and starts it again.
func (v *modelVM) rolling(d time.Duration) {
	v.f.mu.Lock()
	r := v.replica
	v.f.mu.Unlock()
	if r != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		_ = r.Transfer(ctx)
		cancel()
	}
	v.restart(false, false, d)
}

// leave retires a batch VM and replaces it once the group does not have it as a member.
func (v *modelVM) leave(d time.Duration) {
	f := v.f
	if f.control {
		v.rolling(d)
		return
	}
	f.mu.Lock()
	f.leaving = append(f.leaving, v.name)
	v.lostUntil = time.Now()
	f.mu.Unlock()
	for range 1000 {
		time.Sleep(10 * time.Millisecond)
		if f.left(v) {
			break
		}
	}
	if !f.left(v) {
		f.mu.Lock()
		f.note("%s could not leave", v.name)
		f.leaving = slices.DeleteFunc(slices.Clone(f.leaving), func(n string) bool { return n == v.name })
		f.mu.Unlock()
		return
	}
	for !f.takeDown(v) {
		time.Sleep(10 * time.Millisecond)
	}
	v.replace(d)
}

// takeDown counts a VM as lost if the tolerance allows it, and reports whether it does.
func (f *fleetModel) takeDown(v *modelVM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost() >= modelLosses {
		return false
	}
	v.lostUntil = f.always()
	return true
}

// left reports whether a leader holds a lease and does not have v as a member.
func (f *fleetModel) left(v *modelVM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.running() {
		r := f.vms[n].replica
		if _, _, ok := r.Lease(0); !ok {
			continue
		}
		for _, m := range r.Status()[0].Configuration.Members() {
			if m.VM == v.name {
				return false
			}
		}
		return true
	}
	return false
}

// faults starts faults within the tolerance until ctx ends, and returns when all have ended.
func (f *fleetModel) faults(d time.Duration) {
	end := time.Now().Add(d)
	all := modelFaults()
	var kinds []string
	for k := range all {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	running := make(chan struct{}, modelFaultsAtOnce)
	for time.Now().Before(end) {
		f.mu.Lock()
		gap := time.Duration(50+f.rand.IntN(800)) * time.Millisecond
		f.mu.Unlock()
		time.Sleep(gap)
		f.mu.Lock()
		kind := kinds[f.rand.IntN(len(kinds))]
		v := f.vms[f.pick()]
		long := time.Duration(f.rand.IntN(3500)) * time.Millisecond
		lost, everything, seeds := f.lost(), f.rand.IntN(40), f.rand.IntN(8) == 0
		if seeds {
			f.changeSeeds()
		}
		if lost >= modelLosses || v.busy || time.Now().Before(v.lostUntil) {
			f.mu.Unlock()
			continue
		}
		if everything < 2 && len(running) == 0 {
			var wiped []string
			if everything == 0 {
				wiped = f.losable(f.rand.IntN(2) == 0, false)
			}
			f.note("all end, power: %t, wiped: %v", everything == 0, wiped)
			f.mu.Unlock()
			f.endAll(everything == 0, wiped)
			continue
		}
		v.busy = true
		v.lostUntil = f.always()
		f.note("%s: %s for %v", v.name, kind, long)
		f.mu.Unlock()
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			all[kind](v, long)
			f.mu.Lock()
			defer f.mu.Unlock()
			v.busy = false
			if v.lostUntil.Equal(f.always()) {
				v.lostUntil = time.Now().Add(modelRejoin)
			}
		}()
	}
	for range modelFaultsAtOnce {
		running <- struct{}{}
	}
}

// pick returns a VM for a fault, which is a member in two of three cases; f.mu is held.
func (f *fleetModel) pick() string {
	l := f.members()
	if len(l) == 0 || f.rand.IntN(3) == 0 {
		l = f.names
	}
	return l[f.rand.IntN(len(l))]
}

// members returns the VMs in the group that were not removed from the fleet, or none without a leader; f.mu is held.
func (f *fleetModel) members() []string {
	var l []string
	for _, n := range f.running() {
		r := f.vms[n].replica
		if _, _, ok := r.Lease(0); !ok {
			continue
		}
		for _, m := range r.Status()[0].Configuration.Members() {
			if slices.Contains(f.names, m.VM) && !slices.Contains(l, m.VM) {
				l = append(l, m.VM)
			}
		}
	}
	return l
}

// split cuts the links between two halves of the fleet and returns a function that heals them. It loses no disks, so it may
// overlap with the loss of as many disks as the tolerance allows; f.mu is held.
func (f *fleetModel) split() (heal func()) {
	l := slices.Clone(f.names)
	f.rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for i, a := range l {
		for j, b := range l {
			if i%2 != j%2 {
				f.cut[[2]string{a, b}] = true
			}
		}
	}
	f.note("split")
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		clear(f.cut)
	}
}

// changeSeeds draws three VMs that count as present as the new seeds, which VMs adopt at their next start. In half of the
// cases it prefers VMs outside the group. f.mu is held.
func (f *fleetModel) changeSeeds() {
	l := slices.DeleteFunc(f.running(), func(n string) bool { return time.Now().Before(f.vms[n].lostUntil) })
	if len(l) < 3 {
		return
	}
	f.rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	if f.rand.IntN(2) == 0 {
		m := f.members()
		slices.SortStableFunc(l, func(a, b string) int {
			return slices.Index(m, a) - slices.Index(m, b) // -1 for VMs outside the group
		})
	}
	f.seeds = l[:3]
	f.note("seeds %v", f.seeds)
}

// endAll ends all processes, wipes the given VMs, and starts all again within 0.3 s.
func (f *fleetModel) endAll(power bool, wiped []string) {
	f.mu.Lock()
	l := slices.Clone(f.names)
	f.mu.Unlock()
	at := map[string]time.Duration{}
	// All disks lose power before any process ends, as ending takes time on a replica that waits for its disk.
	f.mu.Lock()
	torn := f.rand.IntN(2) * 200 // bytes; with 0 every disk loses all that is not synced
	for _, n := range l {
		v := f.vms[n]
		v.lostUntil = f.always()
		at[n] = time.Duration(f.rand.IntN(300)) * time.Millisecond
		if power || slices.Contains(wiped, n) {
			v.disk.Crash(f.rand.IntN(torn + 1))
		} else {
			v.disk.Kill()
		}
		if slices.Contains(wiped, n) {
			v.wipe()
		}
	}
	f.mu.Unlock()
	done := make(chan struct{})
	for _, n := range l {
		go func() {
			f.vms[n].end(false) // the disk has lost its power already
			time.Sleep(at[n])
			f.vms[n].start()
			done <- struct{}{}
		}()
	}
	for range l {
		<-done
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range l {
		f.vms[n].lostUntil = time.Now().Add(modelRejoin)
	}
}
