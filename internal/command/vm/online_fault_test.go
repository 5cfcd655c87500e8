package vm_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipetack/internal/standin/engine"
	"snipetack/internal/standin/plain"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fakenet"
	"snipetack/internal/testing/fleet"
)

// onlineFault is a fault that is injected for a while; heal ends it.
type onlineFault struct {
	name  string
	apply func(o *onlineRun) (heal func())
}

// engineFault returns a fault of one random engine.
func engineFault(name string, f func(r *rand.Rand) engine.Faults) onlineFault {
	return onlineFault{name: name, apply: func(o *onlineRun) func() {
		i := o.drawUpstream("engine", len(o.f.Engines))
		s := f(o.rand)
		o.f.Engines[i].SetFaults(s)
		n := o.f.Upstream(i).Name
		if s.Leaving {
			o.beginLeaving(n)
		}
		return func() { o.f.Engines[i].SetFaults(engine.Faults{}); o.endLeaving(n) }
	}}
}

// plainFault returns a fault of one random plain service.
func plainFault(name string, f plain.Faults) onlineFault {
	return onlineFault{name: name, apply: func(o *onlineRun) func() {
		i := o.drawUpstream("plain", len(o.f.Plains))
		o.f.Plains[i].SetFaults(f)
		n := o.f.Plain(i).Name
		if f.Leaving {
			o.beginLeaving(n)
		}
		return func() { o.f.Plains[i].SetFaults(plain.Faults{}); o.endLeaving(n) }
	}}
}

// drawUpstream returns a random upstream of a kind that has had no fault yet, so that the end of one fault doesn't end
// another, and marks it.
func (o *onlineRun) drawUpstream(kind string, n int) int {
	for {
		i := o.rand.IntN(n)
		k := fmt.Sprint(kind, i)
		if !o.faulted[k] {
			o.faulted[k] = true
			return i
		}
	}
}

// upstreamIP returns the address of a random upstream that has had no fault yet.
func (o *onlineRun) upstreamIP() string {
	if o.rand.IntN(2) == 0 {
		return o.f.PlainIP(o.drawUpstream("plain", len(o.f.Plains)))
	}
	return o.f.EngineIP(o.drawUpstream("engine", len(o.f.Engines)))
}

// beginLeaving records that an upstream reports from now on that it is leaving.
func (o *onlineRun) beginLeaving(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leavings[upstream] = [2]time.Time{time.Now()}
}

// endLeaving records that an upstream, if it was leaving, is available again.
func (o *onlineRun) endLeaving(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.leavings[upstream]; ok {
		s[1] = time.Now()
		o.leavings[upstream] = s
	}
}

// upstreamFaults returns the faults of single upstreams and the links to them; all VMs keep running.
func upstreamFaults() []onlineFault {
	return []onlineFault{
		engineFault("cut_streams", func(r *rand.Rand) engine.Faults { return engine.Faults{CutAfter: 1 + r.IntN(9)} }),
		engineFault("silent_streams", func(r *rand.Rand) engine.Faults { return engine.Faults{SilentAfter: 1 + r.IntN(9)} }),
		engineFault("silent_engine", func(*rand.Rand) engine.Faults { return engine.Faults{Silent: true} }),
		engineFault("reordered_chunks", func(*rand.Rand) engine.Faults { return engine.Faults{Reorder: true} }),
		engineFault("cut_and_reordered", func(r *rand.Rand) engine.Faults { return engine.Faults{Reorder: true, CutAfter: 2 + r.IntN(9)} }),
		engineFault("refusing_engine", func(*rand.Rand) engine.Faults { return engine.Faults{Refuse: true} }),
		engineFault("leaving_engine", func(*rand.Rand) engine.Faults { return engine.Faults{Leaving: true} }),
		engineFault("restarted_engine", func(r *rand.Rand) engine.Faults { return engine.Faults{CutAfter: 1 + r.IntN(9), Forget: true} }),
		engineFault("unnumbered_and_cut", func(r *rand.Rand) engine.Faults { return engine.Faults{Unnumbered: true, CutAfter: 1 + r.IntN(9)} }),
		engineFault("truncating_engine", func(*rand.Rand) engine.Faults { return engine.Faults{Truncate: true} }),
		engineFault("slow_engine", func(*rand.Rand) engine.Faults { return engine.Faults{SlowFactor: 20} }),
		{"silent_connections", func(o *onlineRun) func() {
			ip := o.upstreamIP()
			for _, v := range o.f.IPs() {
				o.f.Net.BlackholeOpen(v, ip)
			}
			return func() {}
		}},
		{"cut_link", func(o *onlineRun) func() {
			ip := o.upstreamIP()
			o.f.Net.Isolate(ip, o.f.IPs(), true)
			return func() { o.f.Net.Isolate(ip, o.f.IPs(), false) }
		}},
		{"dead_engine", func(o *onlineRun) func() {
			o.f.Net.Kill(o.f.EngineIP(o.drawUpstream("engine", len(o.f.Engines))))
			return func() {}
		}},
		{"leaving_by_configuration", func(o *onlineRun) func() {
			u := o.f.Upstream(o.drawUpstream("engine", len(o.f.Engines)))
			u.Leaving = true
			o.f.Change("keeper-1", catalog.Op{Upstream: u})
			o.beginLeaving(u.Name)
			return func() {}
		}},
	}
}

// totalFaults returns the faults of all upstreams of a service at the same time, by which requests fail.
func totalFaults() []onlineFault {
	return []onlineFault{
		{"all_calls_cut", func(o *onlineRun) func() { return o.allPlains(plain.Faults{Cut: true}) }},
		{"all_calls_silent", func(o *onlineRun) func() { return o.allPlains(plain.Faults{Silent: true}) }},
		{"all_engines_silent", func(o *onlineRun) func() { return o.allEngines(engine.Faults{Silent: true}) }},
		{"all_engines_cut", func(o *onlineRun) func() { return o.allEngines(engine.Faults{CutAfter: 2, Forget: true}) }},
		{"all_upstreams_dead", func(o *onlineRun) func() {
			for i := range o.f.Engines {
				o.f.Net.Kill(o.f.EngineIP(i))
				o.f.Net.Kill(o.f.PlainIP(i))
			}
			return func() {}
		}},
	}
}

func (o *onlineRun) allPlains(f plain.Faults) func() {
	for _, p := range o.f.Plains {
		p.SetFaults(f)
	}
	return func() { o.allPlains(plain.Faults{}) }
}

func (o *onlineRun) allEngines(f engine.Faults) func() {
	for _, e := range o.f.Engines {
		e.SetFaults(f)
	}
	return func() { o.allEngines(engine.Faults{}) }
}

// plainFaults returns the faults of single plain services.
func plainFaults() []onlineFault {
	return []onlineFault{
		plainFault("cut_calls", plain.Faults{Cut: true}),
		plainFault("silent_calls", plain.Faults{Silent: true}),
		plainFault("refusing_service", plain.Faults{Refuse: true}),
		plainFault("leaving_service", plain.Faults{Leaving: true}),
		plainFault("truncated_answers", plain.Faults{Truncate: true}),
		plainFault("redirects", plain.Faults{Redirect: "http://10.66.0.1/elsewhere"}),
		{"dead_service", func(o *onlineRun) func() {
			o.f.Net.Kill(o.f.PlainIP(o.drawUpstream("plain", len(o.f.Plains))))
			return func() {}
		}},
	}
}

// vmFaults returns the faults of VMs and of the links between VMs and to callers.
func vmFaults() []onlineFault {
	return []onlineFault{
		{"lost_vm", func(o *onlineRun) func() {
			if o.markStopped("entry-2") {
				o.f.Kill("entry-2")
			}
			return func() {}
		}},
		{"stopped_vm", stopVM},
		{"lost_keeper", func(o *onlineRun) func() {
			k := fmt.Sprint("keeper-", 1+o.rand.IntN(3))
			if !o.markStopped(k) {
				return func() {}
			}
			o.f.Kill(k)
			return func() { o.f.Start(k) }
		}},
		{"isolated_keeper", func(o *onlineRun) func() {
			ip := o.f.IP(fmt.Sprint("keeper-", 1+o.rand.IntN(3)))
			o.f.Net.Isolate(ip, o.f.IPs(), true)
			return func() { o.f.Net.Isolate(ip, o.f.IPs(), false) }
		}},
		{"late_callers", func(o *onlineRun) func() {
			for _, v := range o.f.IPs() {
				o.f.Net.SetLink(fleet.CallerIP, v, fakenet.Link{Delay: 40 * time.Millisecond, Jitter: 50 * time.Millisecond})
			}
			return func() {}
		}},
	}
}

// stopVM stops entry-1 gracefully and keeps the error of the stop.
func stopVM(o *onlineRun) func() {
	if !o.markStopped("entry-1") {
		return func() {}
	}
	err := o.f.Stop("entry-1")
	o.mu.Lock()
	o.stopErr = err
	o.mu.Unlock()
	return func() {}
}

// markStopped records that a VM is stopped or killed and reports whether it was running.
func (o *onlineRun) markStopped(vm string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ran := !o.stopped[vm]
	o.stopped[vm] = true
	return ran
}
