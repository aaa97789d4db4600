package instance

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"medlarwind.dev/medlarwind/internal/memnet"
)

// TestConnectionsOfOneCallerAreBounded checks that connections beyond the limits, in
// total and per remote IP, are closed, and that closing an accepted connection, even
// twice, frees exactly one slot.
func TestConnectionsOfOneCallerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		inner, err := network.Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		l := limitConns(inner, 5, 3)
		accepted := make(chan net.Conn, 10)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
		// dial reports whether the connection stays open.
		dial := func(host string) bool {
			conn, err := network.Host(host).Dial(context.Background(), "tcp", "10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			synctest.Wait()
			ended := make(chan struct{})
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				close(ended)
			}()
			synctest.Wait()
			select {
			case <-ended:
				return false
			default:
				return true
			}
		}
		steps := []struct {
			host string
			want bool
		}{{"10.0.0.2", true}, {"10.0.0.2", true}, {"10.0.0.2", true}, {"10.0.0.2", false},
			{"10.0.0.3", true}, {"10.0.0.3", true}, {"10.0.0.4", false}}
		for i, step := range steps {
			if got := dial(step.host); got != step.want {
				t.Errorf("connection %d from %s: open %t, want %t", i, step.host, got, step.want)
			}
		}
		first := <-accepted
		first.Close()
		first.Close()
		if !dial("10.0.0.2") || dial("10.0.0.4") {
			t.Error("closing a connection twice must free exactly one slot")
		}
		for len(accepted) > 0 {
			(<-accepted).Close()
		}
		inner.Close()
	})
}
