package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// silentKernel is how long a target's machine acknowledges nothing in these tests.
const silentKernel = 2500 * time.Millisecond

// dropArrivals makes the kernel drop all packets that arrive at a socket, also acknowledgements and
// probes, or ends that.
func dropArrivals(t *testing.T, conn net.Conn, drop bool) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		if !drop {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		filter := []unix.SockFilter{{Code: unix.BPF_RET}}
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &filter[0]})
	})
	if err != nil || sockErr != nil {
		t.Errorf("set packet filter: %v, %v", err, sockErr)
	}
}

// A target whose machine acknowledges nothing for a while and then goes on lost the runs of
// requests that nothing could follow.
func TestRunIsLostWhileTargetAcknowledgesNothing(t *testing.T) {
	const head, first, last = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "first", "-last"
	for _, test := range []struct {
		name string
		// before and after are what the target sends before and after its silence.
		before, after string
	}{
		{"before the answer", "", head + first + last},
		{"within the answer", head + first, last},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, test.before)
				time.Sleep(100 * time.Millisecond)
				dropArrivals(t, conn, true)
				time.Sleep(silentKernel)
				dropArrivals(t, conn, false)
				_, _ = io.WriteString(conn, test.after)
			}()
			client := NewClient(NewDialer().DialContext)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			resp, err := client.Send(ctx, Request{Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("b")})
			if err != nil {
				t.Fatalf("request to a target that was silent for %s: %v", silentKernel, err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Finish(err == nil)
			if err != nil || string(body) != first+last {
				t.Errorf("answer of a target that was silent for %s: %q, %v, want %q", silentKernel, body, err, first+last)
			}
		})
	}
}

// A target that has forgotten a connection, as after a restart of its machine, says so once a packet
// arrives. A request that awaits its answer must learn of that soon, not at the end of its time.
func TestForgottenConnectionHoldsRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialled := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		time.Sleep(100 * time.Millisecond)
		// The caller's side must not see how the connection ends.
		caller := <-dialled
		dropArrivals(t, caller, true)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		time.Sleep(100 * time.Millisecond)
		dropArrivals(t, caller, false)
	}()
	dialer := NewDialer()
	client := NewClient(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err == nil {
			dialled <- conn
		}
		return conn, err
	})
	defer client.Close()
	const limit = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err = client.Send(ctx, Request{Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("b")})
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("request on a connection that its target has forgotten: %v, want a reset", err)
	}
}

// A target that has become unreachable takes no request on a connection that was idle meanwhile: the
// time limit of a request must not stay on a connection that is idle again.
func TestUnreachableTargetGetsRequestOnIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			go func() {
				for {
					if n, err := conn.Read(make([]byte, 4096)); n == 0 || err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	client := NewClient(NewDialer().DialContext)
	defer client.Close()
	send := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		resp, err := client.Send(ctx, Request{Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("b")})
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.ReadAll(resp.Body)
		resp.Finish(err == nil)
	}
	// The second request makes the connection busy and idle once more.
	send()
	send()
	conn := <-accepted
	defer func() { _ = conn.Close() }()
	// The last answer has to be acknowledged first: its repetition would show that the target is reachable.
	time.Sleep(100 * time.Millisecond)
	dropArrivals(t, conn, true)
	time.Sleep(idleUnackedTimeout + 2*keepAliveInterval + keepAliveIdle)
	send()
	if len(accepted) != 1 {
		t.Errorf("%d new connections, want 1: the request was sent on one whose target has become unreachable", len(accepted))
	}
	for len(accepted) > 0 {
		_ = (<-accepted).Close()
	}
}
