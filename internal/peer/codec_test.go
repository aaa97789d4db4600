package peer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

func TestFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SliceOfN(rapid.Byte(), 1, 200)
		messages := rapid.SliceOf(rapid.Custom(func(t *rapid.T) []byte {
			return bytes.Repeat(piece.Draw(t, "piece"), rapid.IntRange(1, 1000).Draw(t, "repeat"))
		})).Draw(t, "messages")
		e, err := newEncoder(compressionLevel)
		if err != nil {
			t.Fatal(err)
		}
		var frames []byte
		for _, m := range messages {
			if frames, err = e.appendFrame(appendKeepAlive(frames), m); err != nil {
				t.Fatal(err)
			}
		}
		d := newDecoder(bytes.NewReader(frames), wire.MaxMessageBytes)
		for i, want := range messages {
			if got, err := d.next(); err != nil || !bytes.Equal(got, want) {
				t.Fatalf("message %d differs, or error %v", i, err)
			}
		}
		if _, err := d.next(); KindOf(err) != KindDisconnected {
			t.Fatalf("after the last message: got error %v, want KindDisconnected", err)
		}
	})
}

// A frame may decompress to far more than its declared length. The decoder must
// reject it.
func TestDecoderRejectsExcessData(t *testing.T) {
	e, err := newEncoder(compressionLevel)
	if err != nil {
		t.Fatal(err)
	}
	const declared = 4000
	_, _ = e.appendFrame(nil, make([]byte, 3<<20))
	frame := append(appendLengths(nil, declared, e.compressed.Len()), e.compressed.Bytes()...)
	d := newDecoder(bytes.NewReader(frame), declared)
	if got, err := d.next(); KindOf(err) != KindMalformed {
		t.Errorf("got %d bytes of a frame with 3 MiB and error %v, want KindMalformed", len(got), err)
	}
}

func TestJSONLimits(t *testing.T) {
	cases := map[string]bool{
		`{"a":[1,2,3]}`:                             true,
		`{"a":[1,2,3,4]}`:                           false,
		`{"a":[null,null,null,null]}`:               false,
		`{"a":[1,2],"b":[[3,4],[5,6],[7,8]]}`:       true,
		`{"a":[",,,,\",,,,[[[[[[[[[",2,3]}`:         true,
		`"unclosed ,,,,,,`:                          true,
		strings.Repeat("[", maxDepth):               true,
		strings.Repeat("[", maxDepth+1):             false,
		strings.Repeat("]", 9) + "[1,2,3]":          true,
		strings.Repeat(`[]`, 99) + `{"a":{"b":[]}}`: true,
	}
	for text, want := range cases {
		if err := checkJSONLimits([]byte(text), 3); (err == nil) != want {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestOutboxBoundsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOutbox()
		var grants []uint64
		var heartbeat uint64
		control := 0
		for seq := range rapid.Uint64Range(0, 2*MaxQueuedGrants).Draw(t, "puts") {
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				if o.putControl(newCall("x", nil)) != (control < MaxQueuedControl) {
					t.Fatal("putControl does not keep MaxQueuedControl")
				}
				control = min(control+1, MaxQueuedControl)
			case 1:
				heartbeat = seq + 1
				o.putHeartbeat(&wire.Heartbeat{Seq: heartbeat})
			default:
				if o.putGrant(&wire.Grant{Seq: seq}) != (len(grants) < MaxQueuedGrants) {
					t.Fatal("putGrant does not keep MaxQueuedGrants")
				}
				if len(grants) < MaxQueuedGrants {
					grants = append(grants, seq)
				}
			}
		}
		for range control {
			if m, _, _ := o.take(); m.(call).method != "x" {
				t.Fatal("calls are not sent first")
			}
		}
		for _, want := range grants {
			if m, _, _ := o.take(); m.(notification).params.(*wire.Grant).Seq != want {
				t.Fatal("grants are out of order")
			}
		}
		if m, ok, _ := o.take(); ok != (heartbeat > 0) || ok && m.(notification).params.(*wire.Heartbeat).Seq != heartbeat {
			t.Fatal("the last message is not the newest heartbeat")
		}
	})
}

// FuzzDecode feeds bytes to a connection after its hello. Messages that reach the
// Handler must be of the peer's incarnation and within the limits. Any other must
// return an error, which ends the connection.
func FuzzDecode(f *testing.F) {
	seeds := []string{
		validHeartbeat,
		`{"jsonrpc":"2.0","method":"heartbeat","params":{"n":9,"q":3,"r":[{"t":"e","c":2}],"dm":[{"c":"x","w":{"m":"l"},"n":4}]}}`,
		`{"jsonrpc":"2.0","method":"grant","params":{"n":9,"q":1,"en":7,"e":3,"c":"x","w":{"s":"l"},"t":"e"}}`,
		`{"jsonrpc":"2.0","id":1,"method":"config","params":{"h":3}}`,
		`{"jsonrpc":"2.0","id":1,"result":{"v":3,"d":"x","t":"eA=="}}`,
		`[{"jsonrpc":"2.0","method":"grant"}]`,
		`null`,
	}
	for _, text := range seeds {
		e, err := newEncoder(compressionLevel)
		if err != nil {
			f.Fatal(err)
		}
		frame, _ := e.appendFrame(appendKeepAlive(nil), []byte(text))
		frame, _ = e.appendFrame(frame, []byte(text))
		f.Add(frame, false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, plain bool) {
		handler := &recorder{}
		l := &link{
			t:      New(Options{Handler: handler}),
			hello:  wire.Hello{Instance: "x", Incarnation: 9},
			peer:   &peerState{},
			outbox: newOutbox(),
			ready:  true,
		}
		feed(l, data, plain)
		for _, hb := range handler.heartbeats {
			if hb.Incarnation != 9 || max(len(hb.Running), len(hb.Demand), len(hb.ServiceCounter)) > wire.MaxListLength {
				t.Errorf("invalid heartbeat was delivered: %+v", hb)
			}
		}
		for _, g := range handler.grants {
			if g.Incarnation != fleet.Incarnation(9) {
				t.Errorf("invalid grant was delivered: %+v", g)
			}
		}
	})
}

// feed decodes data as frames, or as one message if plain is set, and dispatches the
// messages to l until an error.
func feed(l *link, data []byte, plain bool) {
	if plain && len(data) > 0 {
		e, _ := newEncoder(compressionLevel)
		data, _ = e.appendFrame(nil, data)
	}
	s := &stream{decoder: newDecoder(bytes.NewReader(data), 1<<16), onNotification: l.onNotification}
	for {
		var request jsonrpc2.Request
		done, err := s.readObject(&request)
		if err != nil || done && l.dispatch(&request) != nil {
			return
		}
	}
}
