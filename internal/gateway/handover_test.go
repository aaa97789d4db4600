package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/earlyrefusal"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/handover"
	"medlarwind.dev/medlarwind/internal/ingress"
)

// handOverTest is a late instance whose own handler answers "own", before peers that the test scripts.
type handOverTest struct {
	t     testing.TB
	conns *callerConns
	addr  string
	// offers are the peers in the order of their offers.
	offers []handover.Peer
	mu     sync.Mutex
	// results counts what became of the connections handed over, dials the connections to each peer.
	results map[handOverResult]int
	dials   map[string]int
}

// newHandOverTest starts an instance; each peer serves its connections with one of the functions.
func newHandOverTest(t testing.TB, peers ...func(net.Conn)) *handOverTest {
	x := &handOverTest{t: t, conns: newCallerConns(0, clock.BootTime), results: map[handOverResult]int{}, dials: map[string]int{}}
	h := &handOver{
		dial: (&net.Dialer{}).DialContext, now: clock.BootTime, wouldShed: func(*ingress.EarlyRequest) bool { return false },
		leases: handover.Leases{MaxOpen: 2}, margin: 3 * time.Second,
		count: func(r handOverResult) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.results[r]++
		},
	}
	x.conns.handOver = h
	x.conns.early = &earlyRefuser{
		isLate: func() bool { return true }, count: func(earlyrefusal.Verdict) {},
		read: func([]byte) (*ingress.EarlyRequest, earlyrefusal.Verdict) {
			return &ingress.EarlyRequest{}, earlyrefusal.NotShed
		},
	}
	for i, serve := range peers {
		l := x.listen()
		addr := l.Addr().String()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				x.mu.Lock()
				x.dials[addr]++
				x.mu.Unlock()
				go func() { defer conn.Close(); serve(conn) }()
			}
		}()
		// The first peer offers the most and is tried first.
		x.offers = append(x.offers, handover.Peer{ID: fleet.InstanceID(fmt.Sprint("p", i)), Addr: addr, PerSecond: 100 >> i, HeardAt: clock.BootTime()})
	}
	h.leases.Update(x.offers, clock.BootTime())
	l := x.listen()
	x.addr = l.Addr().String()
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "own") }))
	server.ConnState = x.conns.track
	go func() { _ = server.Serve(&callerListener{Listener: l, conns: x.conns}) }()
	t.Cleanup(func() { _ = server.Close() })
	return x
}

func (x *handOverTest) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = l.Close() })
	return l
}

const handOverRequest = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbo"

// send sends most of a request and returns the connection.
func (x *handOverTest) send() net.Conn {
	conn, err := net.Dial("tcp", x.addr)
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, handOverRequest)
	return conn
}

// await waits until a condition holds that the instance's goroutines bring about.
func (x *handOverTest) await(what string, holds func() bool) {
	for range 1000 {
		x.mu.Lock()
		ok := holds()
		x.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	x.t.Errorf("%s: results %v, dials %v", what, x.results, x.dials)
}

// accept accepts a connection as a peer and returns the preamble and the bytes that the caller has sent by now.
func accept(conn net.Conn) string {
	_, _ = conn.Write([]byte{handover.Accepted})
	b := make([]byte, handover.PreambleBytes+len(handOverRequest))
	n, _ := io.ReadFull(conn, b)
	return string(b[:n])
}

func refuse(net.Conn) {}

// The peer gets the caller's address and bytes, also those sent later, and the caller the peer's answer;
// the connection counts as busy meanwhile, so that a graceful stop waits for it.
func TestConnectionIsHandedOver(t *testing.T) {
	got := make(chan string, 2)
	answer := make(chan bool)
	x := newHandOverTest(t, func(conn net.Conn) {
		got <- accept(conn)
		rest := make([]byte, 2)
		_, _ = io.ReadFull(conn, rest)
		got <- string(rest)
		<-answer
		_, _ = io.WriteString(conn, "answer")
	})
	conn := x.send()
	first := <-got
	caller, err := handover.ParsePreamble([]byte(first[:handover.PreambleBytes]))
	if err != nil || caller.String() != conn.LocalAddr().String() || first[handover.PreambleBytes:] != handOverRequest {
		t.Errorf("the peer received %q from %v, %v", first, caller, err)
	}
	_, _ = io.WriteString(conn, "dy")
	if rest := <-got; rest != "dy" {
		t.Errorf("the peer received %q later", rest)
	}
	if c := x.conns.counts(); c.busy != 1 {
		t.Errorf("%+v, want one busy connection", c)
	}
	close(answer)
	if text, err := io.ReadAll(conn); string(text) != "answer" || err != nil {
		t.Errorf("the caller received %q, %v", text, err)
	}
	x.await("answered", func() bool { return x.results[handOverAnswered] == 1 })
	x.await("closed", func() bool { return x.conns.counts() == connCounts{} })
}

// A peer that refuses has received nothing: one other is tried, once, and then the instance itself serves.
func TestRefusedConnectionIsTriedElsewhereOnce(t *testing.T) {
	x := newHandOverTest(t, refuse, func(conn net.Conn) { accept(conn); _, _ = io.WriteString(conn, "second") })
	if text, _ := io.ReadAll(x.send()); string(text) != "second" {
		t.Errorf("the caller received %q, want the answer of the second peer", text)
	}
	x = newHandOverTest(t, refuse, refuse, refuse)
	conn := x.send()
	_, _ = io.WriteString(conn, "dy")
	if text, _ := io.ReadAll(conn); len(text) < 3 || string(text[len(text)-3:]) != "own" {
		t.Errorf("the caller received %q, want the instance's own answer", text)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.results[handOverFailed] != 2 || len(x.dials) != 2 {
		t.Errorf("%v, dials %v, want two peers tried", x.results, x.dials)
	}
}

// Once a peer has received a byte the request may have run: the caller's connection is closed, and nobody else
// gets the request. The peer gets no more for a while.
func TestRequestOfLostPeerIsNotRepeated(t *testing.T) {
	x := newHandOverTest(t, func(conn net.Conn) { accept(conn) }, func(conn net.Conn) { accept(conn); _, _ = io.WriteString(conn, "second") })
	if text, _ := io.ReadAll(x.send()); len(text) > 0 {
		t.Errorf("the caller received %q, want nothing", text)
	}
	x.await("cut", func() bool { return x.results[handOverCut] == 1 && len(x.dials) == 1 })
	if text, _ := io.ReadAll(x.send()); string(text) != "second" {
		t.Errorf("the next caller received %q, want the answer of the other peer", text)
	}
}

// A caller that leaves must end the run at the peer.
func TestCallerThatLeavesEndsHandOver(t *testing.T) {
	ended := make(chan error, 1)
	x := newHandOverTest(t, func(conn net.Conn) {
		accept(conn)
		_, err := io.Copy(io.Discard, conn)
		ended <- err
	})
	x.conns.handOver.margin = time.Minute
	conn := x.send()
	x.await("dialled", func() bool { return len(x.dials) == 1 })
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the peer's connection stays open")
	}
	x.await("left", func() bool { return x.results[handOverCallerLeft] == 1 })
}

// A caller that left while a late instance was reaching a peer gets no run at the peer.
func TestRequestOfCallerThatLeftIsNotHandedOver(t *testing.T) {
	left, received := make(chan bool), make(chan string, 1)
	x := newHandOverTest(t, func(conn net.Conn) { <-left; received <- accept(conn) })
	conn := x.send()
	x.await("dialled", func() bool { return len(x.dials) == 1 })
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond)
	close(left)
	if got := <-received; got != "" {
		t.Errorf("the peer received %q of a caller that had left", got)
	}
	x.await("unsent", func() bool { return x.results[handOverUnsent] == 1 })
}

// A peer that accepts and never answers holds a connection no longer than its caller waits, and only so
// many at a time; others are served by the instance.
func TestSilentPeerIsBounded(t *testing.T) {
	x := newHandOverTest(t, func(conn net.Conn) { accept(conn); _, _ = io.Copy(io.Discard, conn) })
	held := []net.Conn{x.send(), x.send()}
	x.await("handed over", func() bool { return x.conns.counts().busy == 2 })
	third := x.send()
	_, _ = io.WriteString(third, "dy")
	if text, _ := io.ReadAll(third); len(text) < 3 {
		t.Errorf("the caller beyond the bound received %q, want the instance's own answer", text)
	}
	for _, conn := range held {
		if text, _ := io.ReadAll(conn); len(text) > 0 {
			t.Errorf("the caller received %q from a silent peer", text)
		}
	}
	x.await("timed out", func() bool { return x.results[handOverTimedOut] == 2 })
	if x.conns.handOver.hasPeers() {
		t.Error("a peer that was silent gets the next connection at once")
	}
}

// Connections that send no preamble, or one of another protocol, hold a bounded number of slots, and do
// not keep others from being taken over.
func TestOddPeersDoNotBlockHandOver(t *testing.T) {
	x := newHandOverTest(t)
	// A limit of four connections gives two slots.
	conns := newCallerConns(4, clock.BootTime)
	var refused, begun atomic.Int32
	l := newHandOverListener(x.listen(), conns, func() bool { return true }, func() { refused.Add(1) }, func() { begun.Add(1) })
	defer l.Close()
	go l.run()
	dial := func(preamble []byte) net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = conn.Write(preamble)
		return conn
	}
	silent := dial(nil)
	other := dial(make([]byte, handover.PreambleBytes))
	if text, _ := io.ReadAll(other); string(text) != string(rune(handover.Accepted)) {
		t.Errorf("another protocol: %q, want the connection closed", text)
	}
	caller := netip.MustParseAddrPort("10.9.0.1:4321")
	dial(append(handover.AppendPreamble(nil, caller), "POST"...))
	conn, err := l.Accept()
	if err != nil || conn.RemoteAddr().String() != caller.String() {
		t.Fatalf("%v, %v, want a connection of %s", conn, err, caller)
	}
	first := make([]byte, 8)
	if n, _ := conn.Read(first); string(first[:n]) != "POST" {
		t.Errorf("%q follows the preamble", first[:n])
	}
	_ = silent.SetReadDeadline(time.Now().Add(4 * preambleTime))
	if _, err := io.ReadAll(silent); err != nil {
		t.Errorf("a connection without preamble is still open: %v", err)
	}
	for range 3 {
		dial(nil)
	}
	x.await("the third is refused", func() bool { return refused.Load() == 1 })
	if begun.Load() != 1 {
		t.Errorf("%d taken over, want 1", begun.Load())
	}
}
