package membership

import "medlarwind.dev/medlarwind/internal/fleet"

// skipSalt separates the marks of skipped members from rendezvous scores.
const skipSalt = 0x3c6ef372fe94f82b

// skipMask are the bits of a View that name the skipped members.
const skipMask = 0xffffffff

// View is a digest of the live instances of one data centre, in the upper 32 bits,
// and of those among them that its holder skips as unreachable or leaving, in the
// lower 32 bits.
type View uint64

// NewView returns the view of a holder that skips nobody.
func NewView(members []fleet.InstanceID) View {
	return View(Digest(members) &^ skipMask)
}

// Toggle returns the view with the member's skipped state reversed.
func (v View) Toggle(member fleet.InstanceID) View {
	return v ^ View(Score(skipSalt, Hash(string(member)))&skipMask)
}

// SameList tells whether both views are of the same live instances.
func (v View) SameList(other View) bool { return v>>32 == other>>32 }

// Skipped finds which of the members the holder of v skips: up to two, or those in
// hint but for up to two. It returns false for any other set. The list of v must be
// that of members. It takes O(n²) for n members.
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

// findSkipped tries every set that differs from base by up to two members, where
// target is the mark of the difference.
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

// toggled returns a copy of set with the member added, or taken out if it was in.
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
