package main

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Form of the first frame of a link between two machines: its length, its head, and the address of the machine that dialled.
const (
	lengthBytes  = 4
	headBytes    = 10
	maxGreeting  = 256
	greetingTime = 5 * time.Second
	copyBytes    = 16 << 10
)

// proxy forwards connections to a machine and can drop all that comes from and goes to one other machine.
type proxy struct {
	target string

	mu  sync.Mutex
	cut string // address of the machine that is cut off; "" for none
}

// newProxy returns a proxy that listens at an address.
func newProxy(address, target string) (*proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut cuts a machine off, or none.
func (p *proxy) setCut(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = address
}

func (p *proxy) drops(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut == address
}

// serve forwards one connection once it is known which machine has dialled.
func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(greetingTime))
	head := make([]byte, lengthBytes)
	if _, err := io.ReadFull(c, head); err != nil {
		return
	}
	n := binary.BigEndian.Uint32(head)
	if n < headBytes || n > maxGreeting {
		return
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(c, frame); err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	from := string(frame[headBytes:])
	for p.drops(from) {
		time.Sleep(sampleTime)
	}
	d := net.Dialer{Timeout: time.Second}
	t, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	if _, err := t.Write(append(head, frame...)); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.copy(t, c, from); done <- struct{}{} }()
	go func() { p.copy(c, t, from); done <- struct{}{} }()
	<-done
}

// copy forwards bytes of a connection with a machine; while that is cut off, they are held.
func (p *proxy) copy(to io.Writer, from io.Reader, machine string) {
	b := make([]byte, copyBytes)
	for {
		n, err := from.Read(b)
		for p.drops(machine) {
			time.Sleep(sampleTime)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
