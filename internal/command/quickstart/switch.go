package quickstart

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"snipetack/internal/transport/network"
)

// switchable is a VM's network that can be turned off permanently, to simulate the loss of the VM. It is safe for concurrent
// use.
type switchable struct {
	inner network.Network
	mu    sync.Mutex
	off   bool
	open  []io.Closer // all sockets opened so far; those closed since are not removed
}

var _ network.Network = (*switchable)(nil)

func newSwitchable(n network.Network) *switchable {
	return &switchable{inner: n}
}

// turnOff closes all sockets and makes the opening of new ones fail.
func (s *switchable) turnOff() {
	s.mu.Lock()
	l := s.open
	s.off = true
	s.open = nil
	s.mu.Unlock()
	for _, c := range l {
		_ = c.Close()
	}
}

func (s *switchable) ListenPacket(address string) (net.PacketConn, error) {
	c, err := s.inner.ListenPacket(address)
	return track(s, c, err)
}

func (s *switchable) Listen(address string) (net.Listener, error) {
	l, err := s.inner.Listen(address)
	return track(s, l, err)
}

func (s *switchable) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := s.inner.Dial(ctx, address)
	return track(s, c, err)
}

// track records a socket that was just opened, so that turnOff closes it. After turnOff it closes the socket immediately and
// returns an error.
func track[C io.Closer](s *switchable, c C, err error) (C, error) {
	if err != nil {
		return c, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.off {
		_ = c.Close()
		return c, errors.New("the network of the lost VM is turned off")
	}
	s.open = append(s.open, c)
	return c, nil
}
