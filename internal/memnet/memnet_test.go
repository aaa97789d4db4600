package memnet_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/memnet"
)

const (
	clientHost  = "10.0.0.1"
	serverHost  = "10.0.0.2"
	serverAddr  = serverHost + ":80"
	readTimeout = time.Minute
)

// connect returns both ends of a new connection from clientHost to serverHost.
func connect(t *testing.T, n *memnet.Network) (client, server net.Conn) {
	t.Helper()
	l, err := n.Listen(serverAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = n.Host(clientHost).Dial(context.Background(), "tcp", serverAddr)
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}

// readFor returns what arrives at c within d, and the error that ended reading.
func readFor(c net.Conn, d time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	data, err := io.ReadAll(c)
	return string(data), err
}

// Each fault must show the expected data and errors at both ends of a connection, and
// to dials, and must end or stay after Heal as documented.
func TestFaults(t *testing.T) {
	a, b := []string{clientHost}, []string{serverHost}
	timeout, reset := os.ErrDeadlineExceeded, error(syscall.ECONNRESET)
	tests := []struct {
		name   string
		inject func(n *memnet.Network, client, server net.Conn)
		// What each end reads after both wrote, and the error that ended reading.
		serverRead, clientRead string
		serverErr, clientErr   error
		// Whether the server reads the data after Heal, and the error of a dial before it.
		afterHeal bool
		dialErr   error
	}{
		{"none", func(*memnet.Network, net.Conn, net.Conn) {}, "ping", "pong", timeout, timeout, false, nil},
		{"dropping partition", func(n *memnet.Network, _, _ net.Conn) { n.Partition(a, b, memnet.PartitionDrop) },
			"", "", timeout, timeout, true, context.DeadlineExceeded},
		{"rejecting partition", func(n *memnet.Network, _, _ net.Conn) { n.Partition(a, b, memnet.PartitionReject) },
			"", "", reset, reset, false, syscall.EHOSTUNREACH},
		{"one-way partition", func(n *memnet.Network, _, _ net.Conn) { n.PartitionOneWay(a, b) },
			"", "pong", timeout, timeout, true, context.DeadlineExceeded},
		{"silence", func(n *memnet.Network, _, _ net.Conn) { n.Blackhole(a, b) },
			"", "", timeout, timeout, false, nil},
		{"reset", func(n *memnet.Network, _, _ net.Conn) { n.Reset(a, b) }, "", "", reset, reset, false, nil},
		{"reset after", func(n *memnet.Network, _, _ net.Conn) { n.ResetAfter(clientHost, serverHost, 2) },
			"pi", "", reset, reset, false, nil},
		{"closed", func(_ *memnet.Network, client, _ net.Conn) { client.Close() },
			"", "", nil, net.ErrClosed, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				client, server := connect(t, n)
				test.inject(n, client, server)
				_, _ = client.Write([]byte("ping"))
				_, _ = server.Write([]byte("pong"))
				gotServer, serverErr := readFor(server, readTimeout)
				gotClient, clientErr := readFor(client, readTimeout)
				if gotServer != test.serverRead || !errors.Is(serverErr, test.serverErr) {
					t.Errorf("server read %q, error %v", gotServer, serverErr)
				}
				if gotClient != test.clientRead || !errors.Is(clientErr, test.clientErr) {
					t.Errorf("client read %q, error %v", gotClient, clientErr)
				}
				checkDial(t, n, test.dialErr)
				afterHeal := make(chan string)
				go func() {
					got, _ := readFor(server, readTimeout)
					afterHeal <- got
				}()
				synctest.Wait()
				n.Heal(a, b)
				if got := <-afterHeal; (got == "ping") != test.afterHeal {
					t.Errorf("server read %q after Heal", got)
				}
				checkDial(t, n, nil)
			})
		})
	}
}

// checkDial dials from clientHost to serverHost and compares the error with want.
func checkDial(t *testing.T, n *memnet.Network, want error) {
	t.Helper()
	l, err := n.Listen(serverAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := n.Host(clientHost).Dial(ctx, "tcp", serverAddr)
	if !errors.Is(err, want) {
		t.Errorf("dial returned error %v, want %v", err, want)
	}
	if err == nil {
		c.Close()
	}
}

// A dial that waits because of a dropping partition succeeds once the partition heals.
func TestDialWaitsForHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Listen(serverAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		n.PartitionOneWay([]string{serverHost}, []string{clientHost})
		time.AfterFunc(5*time.Second, func() { n.Heal([]string{clientHost}, []string{serverHost}) })
		c, err := n.Host(clientHost).Dial(context.Background(), "tcp", serverAddr)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	})
}

// All bytes arrive, in order and not before the delay, for any sizes of writes and
// reads, also when these exceed the window.
func TestDeliveryProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		writes := rapid.SliceOfN(rapid.IntRange(1, 200_000), 1, 8).Draw(rt, "writes")
		readSize := rapid.IntRange(1000, 100_000).Draw(rt, "read size")
		delay := time.Duration(rapid.IntRange(0, 50).Draw(rt, "delay ms")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			n := memnet.New()
			n.Delay([]string{clientHost}, []string{serverHost}, delay)
			start := time.Now()
			client, server := connect(t, n)
			if got := time.Since(start); got != 2*delay {
				t.Errorf("dial took %v with a delay of %v", got, delay)
			}
			var sent bytes.Buffer
			for i, size := range writes {
				sent.Write(bytes.Repeat([]byte{byte('a' + i)}, size))
			}
			go func() {
				rest := sent.Bytes()
				for _, size := range writes {
					_, _ = client.Write(rest[:size])
					rest = rest[size:]
				}
				client.Close()
			}()
			start = time.Now()
			var got bytes.Buffer
			buffer := make([]byte, readSize)
			_, err := io.CopyBuffer(struct{ io.Writer }{&got}, struct{ io.Reader }{server}, buffer)
			if err != nil || !bytes.Equal(got.Bytes(), sent.Bytes()) {
				t.Errorf("read %d of %d bytes, error %v", got.Len(), sent.Len(), err)
			}
			if time.Since(start) < delay {
				t.Errorf("read after %v with a delay of %v", time.Since(start), delay)
			}
			if counted := n.BytesSent(clientHost, serverHost); counted != int64(sent.Len()) {
				t.Errorf("counted %d of %d bytes", counted, sent.Len())
			}
		})
	})
}

// A write that waits for room must end when the reader closes its end; on a real network the
// connection is reset.
func TestBlockedWriteEndsWhenReaderCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, memnet.New())
		defer client.Close()
		ended := make(chan error, 1)
		go func() {
			var err error
			for err == nil {
				_, err = client.Write(make([]byte, 4<<10))
			}
			ended <- err
		}()
		synctest.Wait()
		_ = server.Close()
		if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("write to a closed reader: error %v, want ECONNRESET", err)
		}
	})
}
