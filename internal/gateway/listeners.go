package gateway

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/ingress"
)

// listeners are the open listeners: http in the order of Gateway.servers, callers first.
type listeners struct {
	http  []net.Listener
	peers net.Listener
}

// listen opens all ports and creates their servers.
func (g *Gateway) listen() (listeners, error) {
	s, o := g.options.Settings, g.options
	ports := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"callers", s.CallerAddr, g.handler},
		{"readiness", s.ReadyAddr, o.Endpoints.Readiness(g.isReady)},
		{"directory", s.DirectoryAddr, o.Endpoints.Directory(g.locate)},
		{"operators", s.OperatorAddr, g.operatorHandler()},
	}
	var l listeners
	var err error
	if l.peers, err = o.Listen(s.PeerAddr); err != nil {
		return l, errors.Wrap(err, "listen for peers")
	}
	for _, port := range ports {
		if port.addr == "" {
			continue
		}
		opened, err := o.Listen(port.addr)
		if err != nil {
			return l, errors.Wrapf(err, "listen for %s", port.name)
		}
		l.http = append(l.http, opened)
		g.servers = append(g.servers, newServer(port.handler))
	}
	g.callerListener = &callerListener{Listener: l.http[0], conns: g.callers}
	l.http[0] = g.callerListener
	g.servers[0].ConnState = g.callers.track
	// Sweeps close idle connections of callers.
	g.servers[0].IdleTimeout = 0
	g.servers[0].ConnContext = withCallerConn
	if opened := g.listenForHandOver(); opened != nil {
		l.http = append(l.http, opened)
		g.servers = append(g.servers, g.newHandOverServer())
	}
	return l, nil
}

// withCallerConn is the ConnContext hook of the callers' server. It stores the connection
// with its socket, if it has one.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerConn); ok {
		conn = c.Conn
	}
	return ingress.WithConn(ctx, conn)
}

// newServer returns a server for HTTP/1.1 only.
func newServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
}

// listenTCP is the default of Options.Listen.
func listenTCP(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: callerKeepAliveInterval, Interval: callerKeepAliveInterval, Count: callerKeepAliveCount,
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// TCP keep-alive of callers' connections, which detects callers that disappeared without
// closing their connection.
const (
	callerKeepAliveInterval = 2 * time.Second
	callerKeepAliveCount    = 3
)
