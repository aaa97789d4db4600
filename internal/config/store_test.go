package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/wire"
)

// document returns a valid document that differs for each n.
func document(n uint64) []byte {
	text := strings.Repeat("# The auction floor's rules, written by the operators.\n", 50)
	return fmt.Appendf(nil, "%smodel m%d input 1 output 1 # Wu\n", text, n)
}

func offer(t *testing.T, s *Store, version uint64, text []byte, want Outcome) error {
	t.Helper()
	got, err := s.Offer(version, text, "test")
	if got != want {
		t.Errorf("Offer(%d) = %v, %v, want %v", version, got, err, want)
	}
	return err
}

func TestOfferOutcomes(t *testing.T) {
	s := NewStore()
	offer(t, s, 5, document(5), Applied)
	offer(t, s, 5, document(5), Same)
	offer(t, s, 4, document(4), Older)
	offer(t, s, 3, []byte("nonsense"), Older)

	var conflict *ConflictError
	if err := offer(t, s, 5, document(6), Conflict); !errors.As(err, &conflict) {
		t.Errorf("Offer() of a conflicting document: error %v, want a *ConflictError", err)
	}
	err := offer(t, s, 7, []byte("\nmodel m # Wu\n"), Invalid)
	var faults *rules.Errors
	if !errors.As(err, &faults) || faults.List[0].Line != 2 {
		t.Errorf("Offer() of an invalid document: error %v, want a *rules.Errors for line 2", err)
	}
	if s.Version() != 5 || s.Current().Digest != Digest(document(5)) {
		t.Errorf("version %d is in force after rejected offers, want version 5", s.Version())
	}
	if s.ShouldFetch(7, Digest([]byte("\nmodel m # Wu\n"))) || !s.ShouldFetch(7, Digest(document(7))) {
		t.Error("ShouldFetch() is true for an invalid document or false for a valid one")
	}
	offer(t, s, 7, document(7), Applied)
}

// TestAnswer checks that a reply contains nothing, only a version, patches or the whole
// text as appropriate, and that its content updates the requester.
func TestAnswer(t *testing.T) {
	responder := NewStore()
	behind := map[uint64]*Store{}
	for version := uint64(1); version <= maxPatches+3; version++ {
		offer(t, responder, version, document(version), Applied)
		behind[version] = NewStore()
		offer(t, behind[version], version, document(version), Applied)
	}
	behind[0] = NewStore()
	tests := []struct {
		have    uint64
		patches int
	}{{0, 0}, {1, 0}, {maxPatches + 2, 1}, {maxPatches, 3}}
	for _, test := range tests {
		requester := behind[test.have]
		reply, err := responder.Answer(requester.Request(), true)
		if err != nil || len(reply.Patches) != test.patches || (len(reply.Text) > 0) == (test.patches > 0) {
			t.Errorf("reply to version %d: %d patches, %d bytes of text, %v", test.have, len(reply.Patches), len(reply.Text), err)
		}
		if got, err := requester.OfferReply(reply, "peer"); got != Applied || requester.Current().Digest != responder.Current().Digest {
			t.Errorf("reply to version %d: OfferReply() = %v, %v", test.have, got, err)
		}
	}
	only, _ := responder.Answer(wire.ConfigRequest{VersionOnly: true}, true)
	if only.Version != responder.Version() || only.Text != nil || only.Patches != nil || !only.Settled {
		t.Errorf("reply to a request for the version only: %+v", only)
	}
	if none, _ := responder.Answer(responder.Request(), false); none.Version != 0 {
		t.Errorf("reply to a request with the current version: %+v", none)
	}
}
