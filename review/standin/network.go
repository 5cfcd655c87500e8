package main

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// cuts holds the pairs of VMs that are cut off from each other.
type cuts struct {
	mu    sync.Mutex
	pairs map[[2]string]bool // by address, in both orders
}

// set cuts a VM off from others, or joins them again.
func (c *cuts) set(v *vm, others []*vm, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pairs == nil {
		c.pairs = map[[2]string]bool{}
	}
	for _, o := range others {
		c.pairs[[2]string{v.ip, o.ip}], c.pairs[[2]string{o.ip, v.ip}] = cut, cut
	}
}

func (c *cuts) has(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pairs[[2]string{a, b}]
}

// proxy forwards the connections of other VMs to one VM. Across a cut it forwards nothing, in neither direction, and the
// connections stay open.
type proxy struct {
	cuts     *cuts
	ip       string
	to       string
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

const cutCheck = 10 * time.Millisecond // between checks whether a cut has healed

func newProxy(c *cuts, ip, from, to string) (*proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", from)
	if err != nil {
		return nil, err
	}
	p := &proxy{cuts: c, ip: ip, to: to, listener: l, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// forward connects an accepted connection. The first frame on it names the VM that has dialled.
func (p *proxy) forward(c net.Conn) {
	if !p.keep(c) {
		return
	}
	first := make([]byte, 16<<10)
	n, err := c.Read(first)
	if err != nil {
		p.drop(c)
		return
	}
	dialler := addressIn(first[:n])
	p.await(dialler)
	d, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.to)
	if err != nil {
		p.drop(c)
		return
	}
	if !p.keep(d) {
		p.drop(c)
		return
	}
	if _, err := d.Write(first[:n]); err != nil {
		p.drop(c)
		p.drop(d)
		return
	}
	go p.copy(c, d, dialler)
	p.copy(d, c, dialler)
}

// addressIn returns the loopback address without port that stands in a frame, or "".
func addressIn(b []byte) string {
	i := bytes.Index(b, []byte("127."))
	if i < 0 {
		return ""
	}
	b = b[i:]
	if j := bytes.IndexByte(b, ':'); j > 0 {
		return string(b[:j])
	}
	return ""
}

func (p *proxy) copy(from, to net.Conn, dialler string) {
	defer p.drop(from)
	defer p.drop(to)
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		p.await(dialler)
		if err != nil {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// await waits while the dialler is cut off from this VM.
func (p *proxy) await(dialler string) {
	for dialler != "" && p.cuts.has(dialler, p.ip) {
		time.Sleep(cutCheck)
	}
}

func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
}
