package quarantine

import (
	"cmp"
	"slices"

	"medlarwind.dev/medlarwind/internal/clock"
)

// identity is what identifies a trait, with the index of the part in a prompt.
type identity struct {
	key, group uint64
	whole      bool
	depth      int
}

// crash is one crash of a target while a request with a trait ran.
type crash struct {
	// id identifies the target and its start.
	id                uint64
	at                clock.Instant
	customer, request uint32
	// cleared reports that the trait was found sound after the crash.
	cleared bool
	// excused reports that a target had answered with the part shortly before the crash. Such a
	// crash counts only once a later one is telling.
	excused bool
	// telling reports that other parts of the request had been answered with shortly before the
	// crash, but this one had not.
	telling bool
}

// record holds the crashes of one trait.
type record struct {
	key   uint64
	whole bool
	// group is the common key of the part at all services, 0 for none.
	group uint64
	// depth is the greatest index of the part in a prompt. Of two parts that were always
	// together the deeper one is in fewer requests.
	depth int
	// sound reports that some target has answered with the part at some time.
	sound   bool
	crashes []crash
	trials  int
	triedAt clock.Instant
	// changedAt is when this instance last learnt something new of the record, askedAt when it
	// last refused a request for it.
	changedAt, askedAt clock.Instant
	// heldCount is the number of crashes that are held. turnedAt is the time of the last telling
	// one, before which crashes count although the part is excused from them, 0 if there is none.
	heldCount int
	turnedAt  clock.Instant
	refused   bool
}

// add adds a crash or merges it with what is known of it.
func (r *record) add(c crash, now clock.Instant) {
	i := slices.IndexFunc(r.crashes, func(known crash) bool { return known.id == c.id })
	if i < 0 {
		r.crashes = append(r.crashes, c)
		r.changedAt = now
		r.trim()
		r.count()
		return
	}
	known := &r.crashes[i]
	if c.cleared && !known.cleared || c.excused && !known.excused || c.telling && !known.telling {
		r.changedAt = now
	}
	known.cleared = known.cleared || c.cleared
	known.excused = known.excused || c.excused
	known.telling = known.telling || c.telling
	// Each hop adds the time in transit to a crash's apparent time.
	known.at = min(known.at, c.at)
	// All instances must agree on the request under which a crash is counted.
	if c.request < known.request {
		known.request, known.customer = c.request, c.customer
	}
	r.count()
}

// count updates turnedAt and heldCount.
func (r *record) count() {
	r.turnedAt = 0
	for _, c := range r.crashes {
		if c.telling && !c.cleared && !c.excused {
			r.turnedAt = max(r.turnedAt, c.at)
		}
	}
	r.heldCount = 0
	for _, c := range r.crashes {
		if r.counts(c) {
			r.heldCount++
		}
	}
}

// counts reports whether a crash is held against the trait.
func (r *record) counts(c crash) bool { return !c.cleared && (!c.excused || c.at < r.turnedAt) }

// trim removes the oldest crash, preferably a cleared one, if there are too many.
func (r *record) trim() {
	if len(r.crashes) <= maxCrashes {
		return
	}
	victim := slices.MinFunc(r.crashes, func(a, b crash) int {
		return cmp.Or(compareBool(!r.counts(a), !r.counts(b)), cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.id == victim.id })
}

// reported returns the crashes to report. Those of a refused trait are reported all the time, and
// peers know the older ones from earlier reports.
func (r *record) reported() []crash {
	if !r.refused || len(r.crashes) <= maxReportedCrashes {
		return r.crashes
	}
	latest := slices.SortedFunc(slices.Values(r.crashes), func(a, b crash) int { return cmp.Compare(b.at, a.at) })
	return latest[:maxReportedCrashes]
}

// held returns the crashes that are not cleared.
func (r *record) held() []crash {
	held := make([]crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		if r.counts(c) {
			held = append(held, c)
		}
	}
	return held
}

// heldAgainst returns how many crashes count against a customer's requests.
func (r *record) heldAgainst(customer uint32) int {
	byCustomer := make(map[uint32]int)
	for _, c := range r.held() {
		byCustomer[c.customer]++
	}
	total := 0
	for id, n := range byCustomer {
		if id != customer {
			n = min(n, maxForOthers)
		}
		total += n
	}
	return total
}

// lastCrash returns the time of the last crash that is held, 0 if there is none.
func (r *record) lastCrash() clock.Instant {
	var last clock.Instant
	for _, c := range r.crashes {
		if r.counts(c) {
			last = max(last, c.at)
		}
	}
	return last
}

// oldestCrash returns the time of the oldest crash that is kept.
func (r *record) oldestCrash() clock.Instant {
	return slices.MinFunc(r.crashes, func(a, b crash) int { return cmp.Compare(a.at, b.at) }).at
}

// refuseAfter returns the number of crashes after which requests with the trait are refused.
func (r *record) refuseAfter() int {
	if r.sound {
		return soundRefuseAfter
	}
	return refuseAfter
}

// lastEvent returns the time of the last crash or trial.
func (r *record) lastEvent() clock.Instant { return max(r.lastCrash(), r.triedAt) }

// compareSuspicion orders records of traits that no target has answered with before the others,
// and then by the number of crashes held against them, the largest first. Of records with as
// many, whole requests come first, then the deeper parts.
func compareSuspicion(a, b *record) int {
	return cmp.Or(compareBool(b.sound, a.sound), cmp.Compare(b.heldCount, a.heldCount), compareBool(a.whole, b.whole), cmp.Compare(b.depth, a.depth), cmp.Compare(a.key, b.key))
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareNews orders records by the number of crashes held against them, the largest first,
// and then by their last change, the latest first.
func compareNews(a, b *record) int {
	return cmp.Or(cmp.Compare(b.heldCount, a.heldCount), cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(a.key, b.key))
}

// independent counts crashes without those that are simultaneous with an earlier one under
// another request.
func independent(crashes []crash) int {
	slices.SortFunc(crashes, func(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	n := 0
	var last crash
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last.at) > simultaneous || c.request == last.request {
			n++
			last = c
		}
	}
	return n
}

func (c crash) byRequest() uint32  { return c.request }
func (c crash) byCustomer() uint32 { return c.customer }

// distinct counts the different values of an attribute.
func distinct(crashes []crash, of func(crash) uint32) int {
	seen := make(map[uint32]bool)
	for _, c := range crashes {
		seen[of(c)] = true
	}
	return len(seen)
}
