package membership

import "medlarwind.dev/medlarwind/internal/fleet"

// skipSalt makes the hashes of skipped members independent of rendezvous scores.
const skipSalt = 0x3c6ef372fe94f82b

// skipMask selects the bits of a View that encode the skipped members.
const skipMask = 0xffffffff

// View is a digest of what one instance sees of a data centre: the live instances in the
// upper 32 bits, and in the lower 32 bits those among them that it skips as unreachable or
// leaving.
type View uint64

// NewView returns the view of members with none skipped.
func NewView(members []fleet.InstanceID) View {
	return View(Digest(members) &^ skipMask)
}

// Toggle returns the view in which the member is skipped if it was not in v, and vice versa.
func (v View) Toggle(member fleet.InstanceID) View {
	return v ^ View(Score(skipSalt, Hash(string(member)))&skipMask)
}

// SameList reports whether both views are of the same live instances.
func (v View) SameList(other View) bool { return v>>32 == other>>32 }

// Skipped decodes which members are skipped in v, which must be a view of members. It finds
// sets of up to two members and sets that differ from hint by up to two members, and returns
// false for any other set. It takes O(n²) for n members.
func (v View) Skipped(members, hint []fleet.InstanceID) ([]fleet.InstanceID, bool) {
	target := v & skipMask
	if skipped, ok := findSkipped(target, members, nil); ok {
		return skipped, true
	}
	for _, member := range hint {
		target = target.Toggle(member)
	}
	return findSkipped(target, members, hint)
}

// findSkipped tries every set that differs from base by up to two members and returns the
// one that matches target, the combined hash of the differing members.
func findSkipped(target View, members, base []fleet.InstanceID) ([]fleet.InstanceID, bool) {
	if target == 0 {
		return base, true
	}
	for i, first := range members {
		remaining := target.Toggle(first)
		if remaining == 0 {
			return toggled(base, first), true
		}
		for _, second := range members[i+1:] {
			if remaining.Toggle(second) == 0 {
				return toggled(toggled(base, first), second), true
			}
		}
	}
	return nil, false
}

// toggled returns a copy of set without the member if it was in set, and with it otherwise.
func toggled(set []fleet.InstanceID, member fleet.InstanceID) []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(set)+1)
	found := false
	for _, other := range set {
		if other == member {
			found = true
			continue
		}
		out = append(out, other)
	}
	if !found {
		out = append(out, member)
	}
	return out
}
