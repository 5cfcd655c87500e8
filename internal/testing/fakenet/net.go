package fakenet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/transport/network"
)

// firstFreePort is the start of the range from which port 0 and outgoing connections get a port.
const firstFreePort = 20_000

// Link describes one direction between two hosts. Loss and Duplicate apply to datagrams only.
type Link struct {
	Delay     time.Duration // one way
	Jitter    time.Duration // max random addition to Delay; reorders datagrams, never the bytes of a stream
	Loss      float64       // fraction of datagrams lost, 0 to 1
	Duplicate float64       // fraction of datagrams delivered twice, 0 to 1
	Cut       bool          // see Net.Cut
}

// Net connects hosts, which are named by their IP addresses. Its methods are safe for concurrent use.
type Net struct {
	mu          sync.Mutex
	rand        *rand.Rand
	links       map[[2]string]Link
	defaultLink Link
	packets     map[string]*packetConn
	listeners   map[string]*listener
	conns       map[*conn]bool
	allConns    []*conn            // both ends of every connection since New, for Close
	blackholed  map[[2]string]bool // from and to sockets: datagrams dropped, as by a NAT that lost its state
	portCounter int
	Packets     int // datagrams sent so far, lost ones included
	Bytes       int // bytes of datagrams sent so far
}

// New returns a network in which every link equals standard until SetLink changes it. The seed determines loss,
// duplication and jitter.
func New(seed uint64, standard Link) *Net {
	return &Net{
		rand:        rand.New(rand.NewPCG(seed, 0)),
		links:       map[[2]string]Link{},
		defaultLink: standard,
		packets:     map[string]*packetConn{},
		listeners:   map[string]*listener{},
		conns:       map[*conn]bool{},
		blackholed:  map[[2]string]bool{},
		portCounter: firstFreePort,
	}
}

// Host returns the network interface of the host with an IP address.
func (n *Net) Host(ip string) network.Network {
	return &host{n: n, ip: ip}
}

// SetLink sets one direction of the link between two hosts.
func (n *Net) SetLink(from, to string, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{from, to}] = l
}

// Cut drops everything from one host to another, without an error at either end. A TCP connection that is written
// to during the cut delivers nothing more of what is written in that direction, even after Reconnect. A Dial in
// either direction blocks until its context ends.
func (n *Net) Cut(from, to string) {
	l := n.Link(from, to)
	l.Cut = true
	n.SetLink(from, to, l)
}

// Reconnect undoes Cut.
func (n *Net) Reconnect(from, to string) {
	l := n.Link(from, to)
	l.Cut = false
	n.SetLink(from, to, l)
}

// Isolate cuts the links between a host and the others in both directions, or reconnects them when cut is false.
func (n *Net) Isolate(ip string, others []string, cut bool) {
	for _, o := range others {
		if o == ip {
			continue
		}
		f := n.Reconnect
		if cut {
			f = n.Cut
		}
		f(ip, o)
		f(o, ip)
	}
}

// Link returns one direction of a link.
func (n *Net) Link(from, to string) Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(from, to)
}

// BlackholeOpen makes every connection that is open now between two hosts unresponsive for good, without an error
// at either end: TCP connections, and pairs of UDP sockets of which one has sent to the other. New
// ones work.
func (n *Net) BlackholeOpen(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.between(a, b) {
			c.blackhole()
		}
	}
	for x, p := range n.packets {
		for y := range p.flows {
			if between(a, b, hostOf(x), hostOf(y)) {
				n.blackholed[[2]string{x, y}] = true
				n.blackholed[[2]string{y, x}] = true
			}
		}
	}
}

// Kill closes all sockets of a host as a power cut does: the other ends of its connections get no error, only
// no more bytes.
func (n *Net) Kill(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, p := range n.packets {
		if hostOf(a) == ip {
			p.kill()
			delete(n.packets, a)
		}
	}
	for a, l := range n.listeners {
		if hostOf(a) == ip {
			l.kill()
			delete(n.listeners, a)
		}
	}
	for c := range n.conns {
		if hostOf(c.local) == ip || hostOf(c.remote) == ip {
			c.blackhole()
		}
	}
}

// Sent returns the number of datagrams sent so far, lost ones included, and their bytes.
func (n *Net) Sent() (packets, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Packets, n.Bytes
}

// Close closes every TCP connection, unresponsive ones too, so that no goroutine stays blocked on one.
func (n *Net) Close() {
	n.mu.Lock()
	l := n.allConns
	n.mu.Unlock()
	for _, c := range l {
		_ = c.Close()
	}
}

func (n *Net) link(from, to string) Link {
	if l, ok := n.links[[2]string{from, to}]; ok {
		return l
	}
	return n.defaultLink
}

func (n *Net) delay(l Link) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(n.rand.Int64N(int64(l.Jitter)))
}

// bind returns the address of a new socket, with port 0 replaced by the next port, or an error when it is in use.
func (n *Net) bind(address string, used func(string) bool) (string, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", errors.Wrapf(err, "binding %s", address)
	}
	if a.Port() == 0 {
		n.portCounter++
		a = netip.AddrPortFrom(a.Addr(), uint16(firstFreePort+n.portCounter%40_000))
	}
	if used(a.String()) {
		return "", errors.Errorf("address %s is in use", a)
	}
	return a.String(), nil
}

func between(a, b, x, y string) bool {
	return (a == x && b == y) || (a == y && b == x)
}

func hostOf(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
