package membership

import (
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Parameters of the 64-bit FNV-1a hash and of the SplitMix64 finalizer.
const (
	fnvOffset  = 0xcbf29ce484222325
	fnvPrime   = 0x100000001b3
	mixFirst   = 0xbf58476d1ce4e5b9
	mixSecond  = 0x94d049bb133111eb
	goldenStep = 0x9e3779b97f4a7c15
)

// Hash returns a stable, well-mixed 64-bit hash of s. It is the same on every
// instance and in every release.
func Hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return mix(h)
}

// Score returns the rendezvous weight of a member for a key, both given by their
// Hash. The member with the highest score comes first.
func Score(key, member uint64) uint64 {
	return mix(key ^ mix(member+goldenStep))
}

// scoredMember is a member and its score for a key.
type scoredMember struct {
	score  uint64
	member fleet.InstanceID
}

// before reports whether s ranks before other. Equal scores are ordered by ID.
func (s scoredMember) before(other scoredMember) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.member < other.member
}

// Rank returns the members in rendezvous order for key. Members keep their relative
// order when another one joins or leaves. It takes O(n log n) for n members.
func Rank(key string, members []fleet.InstanceID) []fleet.InstanceID {
	keyHash := Hash(key)
	all := make([]scoredMember, len(members))
	for i, member := range members {
		all[i] = scoredMember{score: Score(keyHash, Hash(string(member))), member: member}
	}
	slices.SortFunc(all, func(a, b scoredMember) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		}
		return 0
	})
	ranked := make([]fleet.InstanceID, len(all))
	for i := range all {
		ranked[i] = all[i].member
	}
	return ranked
}

// Owner returns the first member in rendezvous order for key, or false if there are no
// members. It does not allocate and takes O(n) for n members.
func Owner(key string, members []fleet.InstanceID) (fleet.InstanceID, bool) {
	if len(members) == 0 {
		return "", false
	}
	keyHash := Hash(key)
	first := scoredMember{score: Score(keyHash, Hash(string(members[0]))), member: members[0]}
	for _, member := range members[1:] {
		next := scoredMember{score: Score(keyHash, Hash(string(member))), member: member}
		if next.before(first) {
			first = next
		}
	}
	return first.member, true
}

// Digest returns a digest of a set of instances. It does not depend on their order.
func Digest(members []fleet.InstanceID) uint64 {
	sorted := slices.Sorted(slices.Values(members))
	h := uint64(fnvOffset)
	for _, member := range sorted {
		h = mix(h ^ Hash(string(member)))
	}
	return h
}

// mix is the SplitMix64 finalizer.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * mixFirst
	h = (h ^ h>>27) * mixSecond
	return h ^ h>>31
}
