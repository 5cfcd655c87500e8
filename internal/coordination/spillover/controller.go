package spillover

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Policy of a Controller.
const (
	fractionMemory = 5 * time.Second // time constant of the fraction that leaves; callers' deadlines
	minAge         = 20 * time.Millisecond
)

// Settings are an operator's bounds.
type Settings struct {
	MinGain     time.Duration // that a request gains at least by leaving
	MaxFraction float64       // of a service's requests at a VM that may leave, from 0 to 1
	RoundTrip   time.Duration // between data centres
}

// DefaultSettings returns the bounds that hold where an operator sets none.
func DefaultSettings() Settings {
	return Settings{
		MinGain:     50 * time.Millisecond,   // a request that has to wait for this long still has its first event within the usual objectives
		MaxFraction: 1,                       // no bound
		RoundTrip:   2800 * time.Microsecond, // twice the longest one-way time of the users' sites
	}
}

// Zone is what a VM knows of the upstreams of one data centre that could take a request.
type Zone struct {
	Upstreams int
	Slots     int
	Free      int // without those of batch items in other data centres
	InFlight  int // online requests
}

// Situation is what a decision depends on.
type Situation struct {
	Here     Zone
	There    map[string]Zone // the other data centres
	Queued   int             // requests of the service that wait at this VM
	Own      int             // requests of this VM at the upstreams here
	SlotTime time.Duration   // for which a request takes a slot on average; 0 is unknown
	Known    bool            // whether the requests of other VMs are known
}

// Deps are the collaborators of a Controller.
type Deps struct {
	Peers func() int           // entry VMs in this data centre
	Age   func() time.Duration // how old the counts of other VMs' requests are at most
	Rand  func() float64       // from 0 to 1
}

// Controller decides for the requests of one VM; it is safe for concurrent use.
type Controller struct {
	s Settings
	d Deps

	mu       sync.Mutex
	services map[string]*service
}

// service is what a Controller keeps of one service.
type service struct {
	here          tokens            // this VM's part of the free slots here
	there         map[string]tokens // and in the other data centres
	placed, other float64           // requests lately, as of at, and those that left
	at            time.Time
}

// New returns a Controller.
func New(s Settings, d Deps) *Controller {
	return &Controller{s: s, d: d, services: map[string]*service{}}
}

// Decide returns the data centre for which a request leaves, or "" when it stays, which may mean to wait.
//
// It stays while the free slots here suffice for what comes until the counts of them are renewed: each VM has its part of them. Beyond, it leaves when it would
// wait here for longer than it loses on the way by MinGain. Each VM also has its part of the free slots of the others, less those that their own requests take meanwhile,
// and divided by the data centres that have an excess.
func (c *Controller) Decide(now time.Time, name string, x Situation) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name)
	age, peers := max(minAge, c.d.Age()), float64(max(1, c.d.Peers()))
	if x.Here.Free > 0 && (!x.Known || s.here.take(now, float64(x.Here.Free)/peers, age, c.d.Rand)) {
		return ""
	}
	if x.wait() < c.s.RoundTrip+c.s.MinGain {
		return ""
	}
	s.decay(now)
	if s.other+1 > c.s.MaxFraction*(s.placed+1) && c.s.MaxFraction < 1 {
		return ""
	}
	return s.leave(now, x, age, peers, c.d.Rand)
}

// Placed records that a request has got a slot, here or in another data centre.
func (c *Controller) Placed(now time.Time, name string, other bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name)
	s.decay(now)
	s.placed++
	if other {
		s.other++
	}
}

// Fraction returns the part of this VM's requests that left the data centre lately.
func (c *Controller) Fraction(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed, other := 0.0, 0.0
	for _, s := range c.services {
		s.decay(now)
		placed, other = placed+s.placed, other+s.other
	}
	if placed == 0 {
		return 0
	}
	return other / placed
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{there: map[string]tokens{}}
		c.services[name] = s
	}
	return s
}

// wait returns how long a request is expected to wait here. With free slots that others may have taken meanwhile, it is the time until one of an
// upstream's slots ends; without, that until so many slots of this VM have ended as requests wait.
func (x *Situation) wait() time.Duration {
	switch {
	case x.Here.Slots == 0 || x.Here.Upstreams == 0:
		return math.MaxInt64
	case x.Here.Free > 0:
		return x.SlotTime * time.Duration(x.Here.Upstreams) / time.Duration(x.Here.Slots)
	}
	return x.SlotTime * time.Duration(x.Queued+1) / time.Duration(max(1, x.Own))
}

// leave returns a data centre with room for a request, or "". They are tried in random order, weighted by their room, so that VMs do not all send to the same one.
func (s *service) leave(now time.Time, x Situation, age time.Duration, peers float64, random func() float64) string {
	excess := 1.0 // data centres without room, with this one
	rooms, sum := map[string]float64{}, 0.0
	for z, v := range x.There {
		if room := x.room(v, age); room >= 1 {
			rooms[z] = room
			sum += room
		} else {
			excess++
		}
	}
	names := slices.Sorted(maps.Keys(rooms))
	for len(names) > 0 {
		i := draw(names, rooms, sum*random())
		z := names[i]
		part := rooms[z] / excess
		if x.Known {
			part /= peers
		}
		t := s.there[z]
		ok := t.take(now, part, age, random)
		s.there[z] = t
		if ok {
			return z
		}
		sum -= rooms[z]
		names = slices.Delete(names, i, i+1)
	}
	return ""
}

// draw returns the index of the name in whose room a number falls, from 0 to the sum of the rooms.
func draw(names []string, rooms map[string]float64, at float64) int {
	for i, z := range names {
		if at -= rooms[z]; at < 0 {
			return i
		}
	}
	return len(names) - 1
}

// room returns how many slots of another data centre are free when a request arrives there. While the requests of other VMs are not known, that is one at each
// upstream, for those that would otherwise wait.
func (x *Situation) room(v Zone, age time.Duration) float64 {
	switch {
	case !x.Known:
		return float64(min(v.Free, v.Upstreams))
	case x.SlotTime <= 0:
		return float64(v.Free)
	}
	return float64(v.Free) - float64(v.InFlight)*age.Seconds()/x.SlotTime.Seconds()
}

// decay reduces what was placed lately to what counts now.
func (s *service) decay(now time.Time) {
	f := math.Exp(-now.Sub(s.at).Seconds() / fractionMemory.Seconds())
	s.placed, s.other, s.at = s.placed*f, s.other*f, now
}

// tokens is a VM's part of some free slots. It is renewed within the age of the counts, since only then this VM knows what it and the others have taken.
type tokens struct {
	n  float64
	at time.Time
}

// take takes one token of a part. Of less than one it is taken by chance, so that the VMs together take as many as there are.
func (t *tokens) take(now time.Time, part float64, age time.Duration, random func() float64) bool {
	t.n = min(part, t.n+part*now.Sub(t.at).Seconds()/age.Seconds())
	t.at = now
	if t.n >= 1 {
		t.n--
		return true
	}
	ok := random() < t.n
	t.n = 0
	return ok
}
