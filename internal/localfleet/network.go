package localfleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/memnet"
)

// DialFunc opens a connection to addr, an IP:port.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Network provides addresses, listeners and dial functions for named hosts.
type Network interface {
	// Reserve returns an IP:port that host can listen on, the same for each call
	// with the same host and port.
	Reserve(host string, port int) (string, error)
	// Listen listens on a reserved address.
	Listen(addr string) (net.Listener, error)
	// Dialer returns the dial function of a host.
	Dialer(host string) DialFunc
}

// loopback is a Network on 127.0.0.1 with ports chosen by the kernel. All hosts
// share one IP address.
type loopback struct {
	mu        sync.Mutex
	reserved  map[string]string
	listeners map[string]net.Listener
}

// Loopback returns a Network on 127.0.0.1 with ports chosen by the kernel.
func Loopback() Network {
	return &loopback{reserved: make(map[string]string), listeners: make(map[string]net.Listener)}
}

// Reserve implements Network. It keeps a listener open, so that no other process gets
// the port before Listen returns that listener.
func (l *loopback) Reserve(host string, port int) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprintf("%s:%d", host, port)
	if addr, known := l.reserved[key]; known {
		return addr, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := listener.Addr().String()
	l.reserved[key] = addr
	l.listeners[addr] = listener
	return addr, nil
}

// Listen implements Network.
func (l *loopback) Listen(addr string) (net.Listener, error) {
	l.mu.Lock()
	listener, reserved := l.listeners[addr]
	delete(l.listeners, addr)
	l.mu.Unlock()
	if reserved {
		return listener, nil
	}
	return net.Listen("tcp", addr)
}

// Dialer implements Network.
func (l *loopback) Dialer(string) DialFunc {
	return (&net.Dialer{Timeout: 2 * time.Second}).DialContext
}

// memory is a Network over a memnet.Network. Each host has its own IP address.
type memory struct {
	net *memnet.Network

	mu    sync.Mutex
	hosts map[string]string
}

// Memory returns a Network over n. It maps host names to IP addresses; see HostIP.
func Memory(n *memnet.Network) *memory {
	return &memory{net: n, hosts: make(map[string]string)}
}

// HostIP returns the IP address of a host, which is the host's name in the
// memnet.Network. It assigns one on first use.
func (m *memory) HostIP(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ip, known := m.hosts[host]
	if !known {
		n := len(m.hosts) + 1
		ip = fmt.Sprintf("10.0.%d.%d", n/250, n%250+1)
		m.hosts[host] = ip
	}
	return ip
}

// Reserve implements Network.
func (m *memory) Reserve(host string, port int) (string, error) {
	return fmt.Sprintf("%s:%d", m.HostIP(host), port), nil
}

// Listen implements Network.
func (m *memory) Listen(addr string) (net.Listener, error) { return m.net.Listen(addr) }

// Dialer implements Network.
func (m *memory) Dialer(host string) DialFunc { return m.net.Host(m.HostIP(host)).Dial }
