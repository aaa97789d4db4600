package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// rawPeer is the client end of a connection to a node, without a Transport.
type rawPeer struct {
	t       *testing.T
	conn    net.Conn
	encoder *encoder
}

// connect dials a node without a Transport. config is nil for plain TCP.
func (n *network) connect(t *testing.T, addr string, config *tls.Config) *rawPeer {
	t.Helper()
	conn, err := n.dialer("stranger")(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if config != nil {
		conn = tls.Client(conn, config)
	}
	e, err := newEncoder(compressionLevel)
	if err != nil {
		t.Fatal(err)
	}
	return &rawPeer{t: t, conn: conn, encoder: e}
}

// send sends a JSON text in a frame.
func (s *rawPeer) send(text string) {
	frame, err := s.encoder.appendFrame(nil, []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	_, _ = s.conn.Write(frame)
}

// sendHello sends a hello with the given id and incarnation.
func (s *rawPeer) sendHello(id string, incarnation fleet.Incarnation) {
	text, _ := json.Marshal(wire.Hello{ProtocolVersion: wire.ProtocolVersion, Instance: fleet.InstanceID(id), Incarnation: incarnation})
	s.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"hello","params":%s}`, text))
}

// waitClosed reads until the node closes the connection; false if it stays open for a
// minute.
func (s *rawPeer) waitClosed() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(time.Minute))
	_, err := io.Copy(io.Discard, s.conn)
	return KindOf(connError(err)) == KindDisconnected
}

const validHeartbeat = `{"jsonrpc":"2.0","method":"heartbeat","params":{"n":9}}`

// An invalid or malicious message must close its connection with the reason logged. It
// must not reach the Handler or disturb other connections.
func TestHostilePeerIsCutOff(t *testing.T) {
	afterHello := func(text string) func(*rawPeer) {
		return func(s *rawPeer) {
			s.sendHello("x", 9)
			s.send(text)
		}
	}
	bomb := func(declared int, zeros int) func(*rawPeer) {
		return func(s *rawPeer) {
			_, _ = s.encoder.appendFrame(nil, make([]byte, zeros))
			body := s.encoder.compressed.Bytes()
			_, _ = s.conn.Write(append(appendLengths(nil, declared, len(body)), body...))
		}
	}
	cases := map[string]struct {
		attack func(*rawPeer)
		kind   Kind
	}{
		"garbage":             {func(s *rawPeer) { _, _ = s.conn.Write([]byte(strings.Repeat("\x40\x7f", 99))) }, KindMalformed},
		"not a peer protocol": {func(s *rawPeer) { _, _ = s.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }, KindSilent},
		"nothing":             {func(*rawPeer) {}, KindSilent},
		"not JSON":            {func(s *rawPeer) { s.send("{") }, KindMalformed},
		"large before hello":  {func(s *rawPeer) { _, _ = s.conn.Write(appendLengths(nil, maxHelloBytes+1, 9)) }, KindOversize},
		"frame over limit": {func(s *rawPeer) {
			s.sendHello("x", 9)
			_, _ = s.conn.Write(appendLengths(nil, wire.MaxMessageBytes+1, 9))
		}, KindOversize},
		"compressed too long":            {func(s *rawPeer) { _, _ = s.conn.Write(appendLengths(nil, 100, 1000)) }, KindOversize},
		"bomb":                           {bomb(4000, 3<<20), KindMalformed},
		"list too long":                  {afterHello(`{"jsonrpc":"2.0","method":"heartbeat","params":{"n":9,"r":[{}` + strings.Repeat(",{}", wire.MaxListLength) + `]}}`), KindOversize},
		"nested":                         {afterHello(strings.Repeat("[", 99)), KindOversize},
		"unknown method":                 {afterHello(`{"jsonrpc":"2.0","method":"lend","params":{}}`), KindMethod},
		"heartbeat as call":              {afterHello(`{"jsonrpc":"2.0","id":7,"method":"heartbeat","params":{"n":9}}`), KindMethod},
		"config as notification":         {afterHello(`{"jsonrpc":"2.0","method":"config","params":{}}`), KindMethod},
		"reply without call":             {afterHello(`{"jsonrpc":"2.0","id":7,"result":{}}`), KindMethod},
		"no parameters":                  {afterHello(`{"jsonrpc":"2.0","method":"grant"}`), KindMalformed},
		"wrong type":                     {afterHello(`{"jsonrpc":"2.0","method":"grant","params":{"n":"x"}}`), KindMalformed},
		"heartbeat of other incarnation": {afterHello(`{"jsonrpc":"2.0","method":"heartbeat","params":{"n":1}}`), KindIdentity},
		"grant of other incarnation":     {afterHello(`{"jsonrpc":"2.0","method":"grant","params":{"n":1}}`), KindIdentity},
		"heartbeat before hello":         {func(s *rawPeer) { s.send(validHeartbeat) }, KindMethod},
		"heartbeat with other key order": {afterHello(`{"method":"heartbeat","params":{"n":1},"jsonrpc":"2.0"}`), KindIdentity},
		"two values in parameters":       {afterHello(`{"jsonrpc":"2.0","method":"heartbeat","params":{"n":9},"id":3}`), KindMalformed},
		"second hello":                   {func(s *rawPeer) { s.sendHello("x", 9); s.sendHello("x", 8) }, KindMethod},
		"id of this instance":            {func(s *rawPeer) { s.sendHello("b", 9) }, KindIdentity},
		"no incarnation":                 {func(s *rawPeer) { s.sendHello("x", 0) }, KindMalformed},
		"version": {func(s *rawPeer) {
			s.send(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"v":99,"i":"x","n":1}}`)
		}, KindVersion},
		"flood of config requests": {func(s *rawPeer) { floodConfig(s) }, KindQueueFull},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork()
				a, b := net.start(t, "a", 1, nil), net.start(t, "b", 2, nil)
				a.SetPeers(listed("b"))
				synctest.Wait()
				s := net.connect(t, "b", nil)
				go c.attack(s)
				if name != "flood of config requests" && !s.waitClosed() {
					t.Error("connection was not closed")
				}
				advance(time.Second)
				if want := fmt.Sprintf(`"reason":"%s"`, c.kind); !strings.Contains(b.log.String(), want) {
					t.Errorf("no %s in the log:\n%s", want, b.log)
				}
				a.SendHeartbeat("b", &wire.Heartbeat{Incarnation: 1, Seq: 5})
				synctest.Wait()
				if len(b.heartbeats) != 1 || b.heartbeats[0].Seq != 5 || len(b.grants) != 0 {
					t.Errorf("got heartbeats %v and grants %v, want one heartbeat and no grant", b.heartbeats, b.grants)
				}
				if len(a.events) != 1 {
					t.Errorf("another connection was affected: events %v", a.events)
				}
				_ = s.conn.Close()
			})
		})
	}
}

// floodConfig sends requests for the configuration without reading the replies.
func floodConfig(s *rawPeer) {
	s.sendHello("x", 9)
	for id := range 10 * MaxQueuedControl {
		s.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"config","params":{}}`, id+2))
	}
}

// Only a peer with a valid certificate of the fleet that names its instance may reach
// the Handler.
func TestOnlyKeyHoldersSpeak(t *testing.T) {
	cases := map[string]func(ca *EphemeralCA) *tls.Config{
		"plain text": func(*EphemeralCA) *tls.Config { return nil },
		"no certificate": func(*EphemeralCA) *tls.Config {
			return &tls.Config{InsecureSkipVerify: true}
		},
		"foreign authority": func(*EphemeralCA) *tls.Config {
			foreign, _ := NewEphemeralCA()
			config, _ := foreign.Issue("x")
			config.InsecureSkipVerify = true
			return config
		},
		"another's name": func(ca *EphemeralCA) *tls.Config {
			config, _ := ca.Issue("y")
			config.InsecureSkipVerify = true
			return config
		},
		"TLS 1.2": func(ca *EphemeralCA) *tls.Config {
			config, _ := ca.Issue("x")
			config.InsecureSkipVerify, config.MinVersion, config.MaxVersion = true, 0, tls.VersionTLS12
			return config
		},
		"expired": func(ca *EphemeralCA) *tls.Config {
			config, _ := ca.Issue("x")
			time.Sleep(2 * ephemeralLifetime)
			config.InsecureSkipVerify = true
			return config
		},
	}
	for name, config := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ca := newCA(t)
				net := newNetwork()
				clientConfig := config(ca)
				b := net.start(t, "b", 2, ca)
				s := net.connect(t, "b", clientConfig)
				go func() {
					s.sendHello("x", 9)
					s.send(validHeartbeat)
				}()
				_, _ = io.Copy(io.Discard, s.conn)
				_ = s.conn.Close()
				synctest.Wait()
				if len(b.heartbeats) != 0 || len(b.events) != 0 {
					t.Errorf("got heartbeats %v and events %v, want none", b.heartbeats, b.events)
				}
				if log := b.log.String(); !strings.Contains(log, `"reason":"tls"`) && !strings.Contains(log, `"reason":"identity"`) {
					t.Errorf("no reason tls or identity in the log:\n%s", log)
				}
			})
		})
	}
}

// A dialled address may be served by another instance or by a process with a
// certificate of another authority. Neither may become connected.
func TestDialledPeerMustProveItsName(t *testing.T) {
	cases := map[string]struct {
		id      string
		tls     bool
		foreign bool
		kind    Kind
	}{
		"another instance":          {"c", true, false, KindIdentity},
		"foreign authority":         {"b", true, true, KindTLS},
		"hello of another instance": {"c", false, false, KindIdentity},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ca, answering *EphemeralCA
				if c.tls {
					ca = newCA(t)
					answering = ca
				}
				if c.foreign {
					answering = newCA(t)
				}
				net := newNetwork()
				a, other := net.start(t, "a", 1, ca), net.start(t, c.id, 2, answering)
				if c.tls {
					other.options.TLS.ClientAuth = tls.RequireAnyClientCert
				}
				a.SetPeers([]fleet.ListedInstance{{ID: "b", PeerAddr: c.id}})
				advance(time.Minute)
				if len(a.events) != 0 || c.tls && len(other.events) != 0 {
					t.Errorf("got events %v and %v, want none", a.events, other.events)
				}
				if want := fmt.Sprintf(`"reason":"%s"`, c.kind); !strings.Contains(a.log.String(), want) {
					t.Errorf("no %s in the log:\n%s", want, a.log)
				}
			})
		})
	}
}

// A network fault can drop the bytes of one or both directions without closing the
// connection. Both sides must close it and open a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, muted := range [][]string{{"a"}, {"b"}, {"a", "b"}} {
		t.Run(strings.Join(muted, "+"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ca := newCA(t)
				net := newNetwork()
				a, b := net.start(t, "a", 1, ca), net.start(t, "b", 2, ca)
				a.SetPeers(listed("b"))
				b.SetPeers(listed("a"))
				advance(time.Hour)
				for _, id := range muted {
					net.mute(id)
				}
				advance(DefaultSilenceTimeout + StandbyDelay + maxRedialDelay)
				for _, n := range []*node{a, b} {
					if len(n.events) != 3 || n.events[0] != n.events[2] {
						t.Errorf("events of %s are %v, want connected, gone, connected", n.hello.Instance, n.events)
					}
				}
				if !slices.ContainsFunc(append(a.gone, b.gone...), func(err error) bool { return KindOf(err) == KindSilent }) {
					t.Errorf("PeerGone got %v and %v, want an error of KindSilent", a.gone, b.gone)
				}
				b.SendGrant("a", &wire.Grant{Incarnation: 2, Seq: 1})
				synctest.Wait()
				if len(a.grants) != 1 {
					t.Error("no grant arrived on the new connection")
				}
			})
		})
	}
}

// A peer that sends but never reads must not block the Send methods, and its
// connection must be closed after the timeout.
func TestSlowReaderDoesNotBlockTheSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		b := net.start(t, "b", 2, nil)
		s := net.connect(t, "b", nil)
		go func() {
			s.sendHello("x", 9)
			for range time.Tick(DefaultSilenceTimeout / 2) {
				if _, err := s.conn.Write(appendKeepAlive(nil)); err != nil {
					return
				}
			}
		}()
		synctest.Wait()
		startTime := time.Now()
		accepted := 0
		for range 2 * MaxQueuedGrants {
			b.SendHeartbeat("x", &wire.Heartbeat{Incarnation: 2})
			if b.SendGrant("x", &wire.Grant{Incarnation: 2}) {
				accepted++
			}
		}
		if accepted > MaxQueuedGrants || accepted < MaxQueuedGrants-1 {
			t.Errorf("%d grants were queued, want about MaxQueuedGrants", accepted)
		}
		if !time.Now().Equal(startTime) {
			t.Error("the Send methods blocked")
		}
		advance(2 * DefaultSilenceTimeout)
		if b.SendGrant("x", &wire.Grant{}) || len(b.gone) != 1 || KindOf(b.gone[0]) != KindSilent {
			t.Errorf("PeerGone got %v, want one error of KindSilent", b.gone)
		}
		_ = s.conn.Close()
	})
}

// Connections that never send a hello must not use up the handshakes of listed peers or
// fill the log.
func TestUnidentifiedConnsDoNotBlockListedPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a, b := net.start(t, "a", 1, nil), net.start(t, "b", 2, nil)
		b.SetPeers(listed("a"))
		open := 0
		for range 2 * MaxHandshakes {
			s := net.connect(t, "b", nil)
			defer s.conn.Close()
			synctest.Wait()
			_ = s.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := s.conn.Read(make([]byte, 1)); KindOf(connError(err)) == KindSilent {
				open++
			}
		}
		if open != MaxHandshakes {
			t.Errorf("%d connections stay open, want MaxHandshakes", open)
		}
		if lines := strings.Count(b.log.String(), "\n"); lines > unidentifiedLogLines {
			t.Errorf("%d log lines, want at most unidentifiedLogLines", lines)
		}
		a.SetPeers(listed("b"))
		synctest.Wait()
		if len(b.Connected()) != 1 {
			t.Error("the listed peer could not connect")
		}
	})
}
