package network

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// connectTimeout bounds the time to establish a TCP connection.
const connectTimeout = 2 * time.Second

// Network opens the sockets that a VM uses. Addresses are ip:port, and port 0 of a listener takes a free port.
type Network interface {
	// ListenPacket opens a UDP socket; port 0 takes a free port.
	ListenPacket(address string) (net.PacketConn, error)
	// Listen opens a TCP listener; port 0 takes a free port.
	Listen(address string) (net.Listener, error)
	// Dial opens a TCP connection. It fails when ctx ends or an implementation's own timeout passes.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// system is the Network of the operating system.
type system struct {
	dialer net.Dialer
	config net.ListenConfig
}

var _ Network = (*system)(nil)

// New returns the operating system's network, whose Dial takes at most connectTimeout.
func New() Network {
	return &system{dialer: net.Dialer{Timeout: connectTimeout}}
}

func (s *system) ListenPacket(address string) (net.PacketConn, error) {
	c, err := s.config.ListenPacket(context.Background(), "udp", address)
	return c, errors.Wrapf(err, "opening UDP socket %s", address)
}

func (s *system) Listen(address string) (net.Listener, error) {
	l, err := s.config.Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listening on %s", address)
}

func (s *system) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := s.dialer.DialContext(ctx, "tcp", address)
	return c, errors.Wrapf(err, "connecting to %s", address)
}
