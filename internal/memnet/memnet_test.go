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
	near    = "10.0.0.1"
	far     = "10.0.0.2"
	farAddr = far + ":80"
	patient = time.Minute
)

// connect returns both ends of a new connection from near to far.
func connect(t *testing.T, n *memnet.Network) (client, server net.Conn) {
	t.Helper()
	l, err := n.Listen(farAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = n.Host(near).Dial(context.Background(), "tcp", farAddr)
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}

// readFor reads what arrives at c within a time, and returns why it ended.
func readFor(c net.Conn, d time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	data, err := io.ReadAll(c)
	return string(data), err
}

func TestFaults(t *testing.T) {
	a, b := []string{near}, []string{far}
	timeout, reset := os.ErrDeadlineExceeded, error(syscall.ECONNRESET)
	tests := []struct {
		name string
		do   func(n *memnet.Network, client, server net.Conn)
		// What each end reads after both wrote one word, and why reading ended.
		atServer, atClient   string
		serverErr, clientErr error
		// Whether the words come once the fault is healed, and a dial's error.
		healed bool
		dial   error
	}{
		{"none", func(*memnet.Network, net.Conn, net.Conn) {}, "ping", "pong", timeout, timeout, false, nil},
		{"silent cut", func(n *memnet.Network, _, _ net.Conn) { n.Partition(a, b, memnet.PartitionDrop) },
			"", "", timeout, timeout, true, context.DeadlineExceeded},
		{"breaking cut", func(n *memnet.Network, _, _ net.Conn) { n.Partition(a, b, memnet.PartitionReject) },
			"", "", reset, reset, false, syscall.EHOSTUNREACH},
		{"cut one way", func(n *memnet.Network, _, _ net.Conn) { n.PartitionOneWay(a, b) },
			"", "pong", timeout, timeout, true, context.DeadlineExceeded},
		{"silence", func(n *memnet.Network, _, _ net.Conn) { n.Blackhole(a, b) },
			"", "", timeout, timeout, false, nil},
		{"reset", func(n *memnet.Network, _, _ net.Conn) { n.Reset(a, b) }, "", "", reset, reset, false, nil},
		{"break after", func(n *memnet.Network, _, _ net.Conn) { n.ResetAfter(near, far, 2) },
			"pi", "", reset, reset, false, nil},
		{"closed", func(_ *memnet.Network, client, _ net.Conn) { client.Close() },
			"", "", nil, net.ErrClosed, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				client, server := connect(t, n)
				test.do(n, client, server)
				_, _ = client.Write([]byte("ping"))
				_, _ = server.Write([]byte("pong"))
				gotServer, serverErr := readFor(server, patient)
				gotClient, clientErr := readFor(client, patient)
				if gotServer != test.atServer || !errors.Is(serverErr, test.serverErr) {
					t.Errorf("server read %q, %v", gotServer, serverErr)
				}
				if gotClient != test.atClient || !errors.Is(clientErr, test.clientErr) {
					t.Errorf("client read %q, %v", gotClient, clientErr)
				}
				checkDial(t, n, test.dial)
				healed := make(chan string)
				go func() {
					got, _ := readFor(server, patient)
					healed <- got
				}()
				synctest.Wait()
				n.Heal(a, b)
				if got := <-healed; (got == "ping") != test.healed {
					t.Errorf("server read %q after healing", got)
				}
				checkDial(t, n, nil)
			})
		})
	}
}

// checkDial dials from near to far and compares the error.
func checkDial(t *testing.T, n *memnet.Network, want error) {
	t.Helper()
	l, err := n.Listen(farAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := n.Host(near).Dial(ctx, "tcp", farAddr)
	if !errors.Is(err, want) {
		t.Errorf("dial: %v, want %v", err, want)
	}
	if err == nil {
		c.Close()
	}
}

// A dial that waits in a silent cut is made once the cut heals.
func TestDialWaitsForHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Listen(farAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		n.PartitionOneWay([]string{far}, []string{near})
		time.AfterFunc(5*time.Second, func() { n.Heal([]string{near}, []string{far}) })
		c, err := n.Host(near).Dial(context.Background(), "tcp", farAddr)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	})
}

// Bytes arrive whole, in order and not before the delay, whatever the sizes of
// writes and reads, also when they exceed the window.
func TestDeliveryProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		writes := rapid.SliceOfN(rapid.IntRange(1, 200_000), 1, 8).Draw(rt, "writes")
		readSize := rapid.IntRange(1000, 100_000).Draw(rt, "read size")
		delay := time.Duration(rapid.IntRange(0, 50).Draw(rt, "delay ms")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			n := memnet.New()
			n.Delay([]string{near}, []string{far}, delay)
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
				t.Errorf("read %d of %d bytes, %v", got.Len(), sent.Len(), err)
			}
			if time.Since(start) < delay {
				t.Errorf("read after %v with a delay of %v", time.Since(start), delay)
			}
			if counted := n.BytesSent(near, far); counted != int64(sent.Len()) {
				t.Errorf("counted %d of %d bytes", counted, sent.Len())
			}
		})
	})
}
