package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/wire"
)

// In a fleet of hundreds of instances a list of all members is the largest part of a heartbeat,
// and from one heartbeat to the next only the ages change. A list that the receiver has got is
// therefore replaced by its digest and the greatest age.

// maxSameAge is the greatest age of a member up to which a digest may replace the list: the age
// of all is set to that of the oldest, which must not look as if it were unreachable.
const maxSameAge = RelayedUnreachableAfter / 2

// SentMembers tracks which members one peer is known to have got, as the sender. The zero value
// is ready for use.
type SentMembers struct {
	// digests holds the digests of the lists in recent heartbeats, 0 for one without, by
	// sequence number. acked is the digest of the last list that the peer got.
	digests [sentKept]uint64
	acked   uint64
}

// sentKept is the number of heartbeats of which the lists are remembered.
const sentKept = 64

// Fill puts the members into a heartbeat with the given sequence number, or what stands for them.
// list says whether a whole list may be sent in this heartbeat.
func (s *SentMembers) Fill(hb *wire.Heartbeat, seq uint64, members []wire.Member, list bool) {
	s.digests[seq%sentKept] = 0
	digest, oldest := Digest(members), oldestMillis(members)
	switch {
	case digest == s.acked && oldest <= maxSameAge.Milliseconds():
		hb.MembersSame = &wire.MembersSame{Digest: digest, AgeMillis: oldest}
	case list:
		hb.Members = members
		s.digests[seq%sentKept] = digest
	}
}

// Acknowledge records that the peer got the heartbeat with the given sequence number, which must
// be one of the last sentKept.
func (s *SentMembers) Acknowledge(seq uint64) {
	if digest := s.digests[seq%sentKept]; digest != 0 {
		s.acked = digest
	}
}

// ReceivedMembers keeps the last list of members of one peer, as the receiver. The zero value is
// ready for use.
type ReceivedMembers struct {
	digest uint64
	list   []wire.Member
}

// Merge applies the members of a heartbeat to the roster, or what stands for them.
func (m *ReceivedMembers) Merge(r *Roster, hb *wire.Heartbeat, now clock.Instant) {
	if len(hb.Members) > 0 {
		m.digest, m.list = Digest(hb.Members), hb.Members
		r.Merge(hb.Members, now)
		return
	}
	if same := hb.MembersSame; same != nil && same.Digest == m.digest && same.AgeMillis >= 0 {
		for i := range m.list {
			m.list[i].AgeMillis = same.AgeMillis
		}
		r.Merge(m.list, now)
	}
}

// Digest returns a digest of members without their ages, never 0.
func Digest(members []wire.Member) uint64 {
	var sum xxhash.Digest
	sum.Reset()
	var number [8]byte
	add := func(text string) {
		// Writes to a Digest never return an error.
		_, _ = sum.WriteString(text)
		_, _ = sum.Write([]byte{0})
	}
	for i := range members {
		m := &members[i]
		add(string(m.ID))
		add(string(m.DataCentre))
		add(m.CallerAddr)
		add(m.HandOverAddr)
		binary.LittleEndian.PutUint64(number[:], uint64(m.TakesPerSecond))
		_, _ = sum.Write(number[:])
		binary.LittleEndian.PutUint64(number[:], uint64(m.Incarnation))
		_, _ = sum.Write(number[:])
		binary.LittleEndian.PutUint64(number[:], uint64(m.ProcessorMillis)<<3|flag(m.Leaving)<<2|flag(m.NotReady)<<1|flag(m.Behind))
		_, _ = sum.Write(number[:])
	}
	return max(sum.Sum64(), 1)
}

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// oldestMillis returns the greatest age of any member.
func oldestMillis(members []wire.Member) int64 {
	oldest := int64(0)
	for i := range members {
		oldest = max(oldest, members[i].AgeMillis)
	}
	return oldest
}
