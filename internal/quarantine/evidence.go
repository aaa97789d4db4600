package quarantine

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Limits of an Evidence.
const (
	// refuseAfter is the number of crashes after which requests with a trait are refused.
	refuseAfter = 3
	// soundRefuseAfter replaces refuseAfter for a part that targets have answered with before.
	soundRefuseAfter = 5
	// minRequests is the number of different requests that these crashes must include to be
	// held against a part: otherwise the one request is refused as a whole.
	minRequests = 2
	// maxForOthers is how many of one customer's crashes count against another customer's
	// requests, so that no customer alone can have the parts of others refused.
	maxForOthers = refuseAfter - 1
	// simultaneous is the time within which crashes under different requests count as one:
	// targets that go down together have a common cause outside the requests.
	simultaneous = 100 * time.Millisecond
	// soundFor is how long before a crash a part must have been answered with to be excused
	// from that crash.
	soundFor = 2 * time.Second
	// maxSoundParts limits the parts whose last answer is remembered, for each half of the
	// memory.
	maxSoundParts = 8192
	// maxKnownParts limits the parts of which it is remembered that targets answered with them,
	// for each half of the memory.
	maxKnownParts = 8192
	// firstTrial is the time after the last crash from which one request with a refused trait
	// may run as a trial. It doubles with each trial, up to maxTrialInterval.
	firstTrial       = 20 * time.Second
	maxTrialInterval = 10 * time.Minute
	// firstSoundTrial replaces firstTrial for a part that targets have answered with before:
	// many requests may share it.
	firstSoundTrial = 3 * time.Second
	// Once a trial is due the instances take turns of trialTurn in the rendezvous order of the
	// trait, so that word of a trial arrives before the next turn. For each trialWidening
	// without a trial one more instance has its turn at the same time, up to maxTrialTurns.
	trialTurn     = 2 * time.Second
	trialWidening = time.Minute
	maxTrialTurns = 3
	// maxRecords limits the traits with crashes. trimSlack is how many more are kept until
	// the least suspect ones are removed together.
	maxRecords = 1024
	trimSlack  = 256
	// maxCrashes limits the crashes kept for one trait, maxReportedCrashes those of a refused
	// trait in a report, which has its latest ones.
	maxCrashes         = 24
	maxReportedCrashes = 8
	// crashTTL is how long a crash is held against a trait that is not refused, refusedTTL
	// how long a trait stays refused after the last request with it.
	crashTTL   = 10 * time.Minute
	refusedTTL = 30 * time.Minute
	// clearedTTL is how long cleared crashes are kept, so that peers learn that they are.
	clearedTTL = 10 * time.Second
	// reportFor is how long a changed record is reported to peers. Refused traits are
	// always reported. maxReported limits the records in a report.
	reportFor   = 2 * time.Second
	maxReported = 32
	// expireInterval is the time between two removals of old records.
	expireInterval = time.Second
	// maxEvidenceChanges limits the changes kept until they are taken.
	maxEvidenceChanges = 64
)

// Judgement says whether a request may run.
type Judgement struct {
	// Refused reports whether the request must not run. Trait is the key of the trait for
	// which it is refused, Part that trait's index among the parts, -1 for the whole request.
	Refused bool
	Trait   uint64
	Part    int
	// Crashes is the number of crashes held against the trait.
	Crashes int
	// Trial reports whether the request may run to find out whether the trait is still to be
	// refused. RecordTrial must be called if it does.
	Trial bool
	// TrialIn is the time until the next trial, for a refused request.
	TrialIn time.Duration
}

// Change says that requests with a trait are refused from now on, or no longer.
type Change struct {
	Trait   uint64
	Whole   bool
	Refused bool
	// Crashes, Requests and Customers count the crashes held against the trait and the
	// requests and customers under which they occurred. Trials counts the trials so far.
	Crashes, Requests, Customers, Trials int
}

// Evidence finds out which requests crash targets, from the crashes that all instances of
// the fleet observe. A crash is held against the traits of the requests that ran on the
// target and had not begun to be answered; of a request that had, only against the request
// as a whole. A trait that a target begins to answer with is cleared of all crashes. From
// refuseAfter crashes on, requests with the trait are refused, unless a trait with more
// crashes explains them. A part that was answered with shortly before a crash is excused from it,
// until it crashes a target again while others are answered with and it is not: then it has turned.
//
// The crashes of a trait only grow in number and are only ever cleared, so that merging is
// independent of order and repetition. Memory is bounded by maxRecords and maxSoundParts,
// a report by maxReported. The methods do no I/O and must not be called concurrently.
type Evidence struct {
	records map[uint64]*record
	refused int
	// refusedGroups holds the refused records of each group.
	refusedGroups map[uint64][]*record
	// sound and soundBefore hold when a target last began to answer with a part, of the
	// current and of the previous period of soundFor.
	sound, soundBefore map[uint64]clock.Instant
	soundSince         clock.Instant
	// known and knownBefore hold the parts that targets have answered with, known the latest.
	known, knownBefore map[uint64]struct{}
	expiredAt          clock.Instant
	// undecided is set if a change may alter which traits are refused.
	undecided bool
	changes   []Change
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence() *Evidence {
	return &Evidence{
		records: make(map[uint64]*record),
		sound:   make(map[uint64]clock.Instant), soundBefore: make(map[uint64]clock.Instant),
		known: make(map[uint64]struct{}), knownBefore: make(map[uint64]struct{}),
	}
}

// RecordBreak holds a broken connection to a target against a request as a whole. start
// identifies the target and its start.
func (e *Evidence) RecordBreak(start uint64, t *Traits, now clock.Instant) {
	e.hold(identity{key: t.Whole, whole: true}, crash{id: start, at: now, customer: t.Customer, request: t.request()}, now)
	e.settle()
}

// RecordCrash holds the crash of a target against the parts of a request that it had not
// begun to answer. start identifies the target and its start.
func (e *Evidence) RecordCrash(start uint64, t *Traits, at, now clock.Instant) {
	for i, key := range t.Parts {
		e.hold(identity{key: key, group: t.group(i), depth: i}, crash{
			id: start, at: at, customer: t.Customer, request: t.request(), telling: e.isTelling(t, key, at),
		}, now)
	}
	e.settle()
}

// isTelling reports whether targets have answered with another part of a request shortly before a
// time, and later than with the part.
func (e *Evidence) isTelling(t *Traits, key uint64, at clock.Instant) bool {
	last := max(e.answeredAt(key), at.Add(-soundFor))
	return slices.ContainsFunc(t.Parts, func(other uint64) bool { return other != key && e.answeredAt(other) > last })
}

// answeredAt returns when a target last began to answer with a part, 0 if that is not remembered.
func (e *Evidence) answeredAt(key uint64) clock.Instant { return max(e.sound[key], e.soundBefore[key]) }

// RecordAnswering records that a target has begun to answer a request: none of its parts
// crashes targets.
func (e *Evidence) RecordAnswering(t *Traits, now clock.Instant) {
	if now.Sub(e.soundSince) >= soundFor {
		if now.Sub(e.soundSince) >= 2*soundFor {
			clear(e.sound)
		}
		e.sound, e.soundBefore = e.soundBefore, e.sound
		clear(e.sound)
		e.soundSince = now
	}
	for _, key := range t.Parts {
		if _, ok := e.sound[key]; ok || len(e.sound) < maxSoundParts {
			e.sound[key] = now
		}
		e.remember(key)
		if r := e.records[key]; r != nil {
			e.setSound(r, now)
			e.clear(r, now)
		}
	}
	e.decide()
}

// remember notes that a target has answered with a part.
func (e *Evidence) remember(key uint64) {
	if _, ok := e.known[key]; ok {
		return
	}
	if len(e.known) >= maxKnownParts {
		e.known, e.knownBefore = e.knownBefore, e.known
		clear(e.known)
	}
	e.known[key] = struct{}{}
}

// isKnown reports whether a target is known to have answered with a part.
func (e *Evidence) isKnown(key uint64) bool {
	_, ok := e.known[key]
	if !ok {
		_, ok = e.knownBefore[key]
	}
	return ok
}

// setSound notes in a record that some target has answered with the part.
func (e *Evidence) setSound(r *record, now clock.Instant) {
	if !r.sound {
		r.sound, r.changedAt = true, now
		e.undecided = e.undecided || r.heldCount >= refuseAfter
	}
}

// RecordCompleted records that a request ran to its end.
func (e *Evidence) RecordCompleted(t *Traits, now clock.Instant) {
	r := e.records[t.Whole]
	if r == nil {
		return
	}
	if len(r.crashes) < refuseAfter-1 {
		// Peers do not know of the record.
		delete(e.records, t.Whole)
		return
	}
	e.clear(r, now)
	e.decide()
}

// RecordTrial records that a request runs as a trial.
func (e *Evidence) RecordTrial(t *Traits, now clock.Instant) {
	for _, key := range append([]uint64{t.Whole}, t.Parts...) {
		if r := e.records[key]; r != nil && r.refused {
			r.trials, r.triedAt, r.changedAt = r.trials+1, now, now
		}
	}
}

// Check judges a request. order returns this instance's position, from 0, in the rendezvous order
// of the live instances for a trait, and their number.
func (e *Evidence) Check(t *Traits, now clock.Instant, order func(trait uint64) (position, instances int)) Judgement {
	if e.refused == 0 {
		return Judgement{}
	}
	var found *record
	j, refusals := Judgement{}, 0
	for i := -1; i < len(t.Parts); i++ {
		key := t.Whole
		if i >= 0 {
			key = t.Parts[i]
		}
		r := e.records[key]
		if r == nil || !r.refused || r.heldAgainst(t.Customer) < refuseAfter {
			continue
		}
		r.askedAt = now
		if i > 0 && slices.Contains(t.Parts[:i], key) {
			continue
		}
		refusals++
		if found == nil || e.trialDue(r) > e.trialDue(found) {
			found, j = r, Judgement{Refused: true, Trait: key, Part: i, Crashes: r.heldCount}
		}
	}
	if found == nil {
		return j
	}
	if j.TrialIn = e.trialDue(found).Sub(now); j.TrialIn > 0 {
		return j
	}
	position, instances := order(cmp.Or(found.group, found.key))
	j.TrialIn = untilTurn(-j.TrialIn, position, instances)
	// A trial with a second refused trait would tell nothing of the first.
	if refusals == 1 && j.TrialIn == 0 {
		j.Refused, j.Trial = false, true
	}
	return j
}

// untilTurn returns the time until an instance's turn to run a trial that has been due for some
// time, 0 while it is its turn.
func untilTurn(due time.Duration, position, instances int) time.Duration {
	instances = max(instances, 1)
	turn := int(due / trialTurn)
	ahead := ((position-turn)%instances + instances) % instances
	if ahead < min(1+int(due/trialWidening), maxTrialTurns) {
		return 0
	}
	return time.Duration(ahead)*trialTurn - due%trialTurn
}

// Merge adds the evidence that a peer reports.
func (e *Evidence) Merge(reported []wire.Evidence, now clock.Instant) {
	for _, w := range reported[:min(len(reported), maxReported)] {
		for _, c := range w.Crashes[:min(len(w.Crashes), maxCrashes)] {
			age := time.Duration(c.AgeMillis) * time.Millisecond
			if age < 0 || age > refusedTTL {
				continue
			}
			e.hold(identity{key: w.Trait, whole: w.Whole, group: w.Group, depth: w.Depth}, crash{
				id: c.Target, at: now.Add(-age), customer: c.Customer, request: c.Request,
				cleared: c.Cleared && !c.Excused, excused: c.Excused, telling: c.Telling,
			}, now)
		}
		if r := e.records[w.Trait]; r != nil && w.Sound {
			e.setSound(r, now)
		}
		if r := e.records[w.Trait]; r != nil && w.Trials > r.trials && w.TrialAgeMillis >= 0 {
			r.trials, r.changedAt = w.Trials, now
			r.triedAt = max(r.triedAt, now.Add(-time.Duration(w.TrialAgeMillis)*time.Millisecond))
		}
	}
	e.settle()
}

// Report returns what peers are to know: the refused traits, and those of which this
// instance has learnt something within reportFor. Of those that are too many, the ones
// with the most crashes are reported.
func (e *Evidence) Report(now clock.Instant) []wire.Evidence {
	e.expire(now)
	var chosen []*record
	for _, r := range e.records {
		if r.refused || now.Sub(r.changedAt) < reportFor && (!r.whole || len(r.crashes) >= refuseAfter-1) {
			chosen = append(chosen, r)
		}
	}
	slices.SortFunc(chosen, compareNews)
	list := make([]wire.Evidence, 0, min(len(chosen), maxReported))
	for _, r := range chosen[:min(len(chosen), maxReported)] {
		w := wire.Evidence{Trait: r.key, Whole: r.whole, Group: r.group, Depth: r.depth, Sound: r.sound, Trials: r.trials}
		if r.trials > 0 {
			w.TrialAgeMillis = now.Sub(r.triedAt).Milliseconds()
		}
		for _, c := range r.reported() {
			w.Crashes = append(w.Crashes, wire.Crash{
				Target: c.id, AgeMillis: now.Sub(c.at).Milliseconds(), Customer: c.customer, Request: c.request,
				Cleared: !r.counts(c), Excused: c.excused && !c.cleared, Telling: c.telling,
			})
		}
		list = append(list, w)
	}
	return list
}

// TakeChanges returns the changes since the last call.
func (e *Evidence) TakeChanges() []Change {
	changes := e.changes
	e.changes = nil
	return changes
}

// hold adds a crash to the record of a trait. settle must be called afterwards.
func (e *Evidence) hold(t identity, c crash, now clock.Instant) {
	if last := e.answeredAt(t.key); !t.whole && last != 0 {
		c.cleared = c.cleared || last >= c.at
		c.excused = c.excused || last >= c.at.Add(-soundFor)
	}
	r := e.records[t.key]
	if r == nil {
		r = &record{key: t.key, whole: t.whole, sound: !t.whole && e.isKnown(t.key), changedAt: now}
		e.records[t.key] = r
	}
	r.group, r.depth = cmp.Or(r.group, t.group), max(r.depth, t.depth)
	r.add(c, now)
	e.undecided = e.undecided || r.refused || r.heldCount >= refuseAfter
}

// clear clears the crashes of a record until now. decide must be called afterwards.
func (e *Evidence) clear(r *record, now clock.Instant) {
	for i := range r.crashes {
		if c := &r.crashes[i]; !c.cleared && c.at <= now {
			c.cleared, r.changedAt = true, now
		}
	}
	r.count()
	e.undecided = e.undecided || r.refused
}

// settle removes the records beyond the limit and decides which traits are refused.
func (e *Evidence) settle() {
	if len(e.records) > maxRecords+trimSlack {
		all := make([]*record, 0, len(e.records))
		for _, r := range e.records {
			all = append(all, r)
		}
		slices.SortFunc(all, compareNews)
		for _, r := range all[maxRecords:] {
			delete(e.records, r.key)
			e.undecided = e.undecided || r.refused
		}
	}
	e.decide()
}

// decide decides which traits are refused. A crash counts only against the first trait that is
// refused for it. Traits are judged in the order of suspicion, so that where several were
// together, few are refused that explain all crashes, and those first that no target has
// answered with.
func (e *Evidence) decide() {
	if !e.undecided {
		return
	}
	e.undecided = false
	var suspects []*record
	for _, r := range e.records {
		if r.refused || r.heldCount >= refuseAfter {
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(suspects, compareSuspicion)
	explained := make(map[uint64]bool)
	// Before explainedUntil a refused trait had more crashes than are kept.
	var explainedUntil clock.Instant
	e.refused = 0
	e.refusedGroups = make(map[uint64][]*record)
	for _, r := range suspects {
		var left []crash
		for _, c := range r.held() {
			if !explained[c.id] && c.at >= explainedUntil {
				left = append(left, c)
			}
		}
		refused := independent(left) >= r.refuseAfter() && (r.whole || distinct(left, crash.byRequest) >= minRequests)
		if refused {
			e.refused++
			if r.group != 0 {
				e.refusedGroups[r.group] = append(e.refusedGroups[r.group], r)
			}
			for _, c := range r.held() {
				explained[c.id] = true
			}
			if len(r.crashes) == maxCrashes {
				explainedUntil = max(explainedUntil, r.oldestCrash())
			}
		}
		if refused != r.refused {
			r.refused = refused
			e.noteChange(r)
		}
	}
}

func (e *Evidence) noteChange(r *record) {
	if len(e.changes) < maxEvidenceChanges {
		held := r.held()
		e.changes = append(e.changes, Change{
			Trait: r.key, Whole: r.whole, Refused: r.refused, Trials: r.trials,
			Crashes: len(held), Requests: distinct(held, crash.byRequest), Customers: distinct(held, crash.byCustomer),
		})
	}
}

// expire removes old crashes and records, at most once in expireInterval.
func (e *Evidence) expire(now clock.Instant) {
	if now.Sub(e.expiredAt) < expireInterval {
		return
	}
	e.expiredAt = now
	for key, r := range e.records {
		if r.refused {
			if now.Sub(max(r.askedAt, r.triedAt, r.lastCrash())) > refusedTTL {
				r.crashes, e.undecided = nil, true
			}
		} else {
			r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) > crashTTL })
		}
		r.count()
		if r.heldCount == 0 && now.Sub(r.changedAt) > clearedTTL && !r.refused {
			delete(e.records, key)
		}
	}
	e.decide()
}

// trialDue returns the time from which a trial with a refused trait may run. All services at which
// a part is refused share its trials: each trial may crash a target.
func (e *Evidence) trialDue(r *record) clock.Instant {
	trials, sound, last := r.trials, r.sound, r.lastEvent()
	for _, other := range e.refusedGroups[r.group] {
		if other != r {
			trials, sound, last = trials+other.trials, sound && other.sound, max(last, other.lastEvent())
		}
	}
	interval := maxTrialInterval
	if d := firstTrial << min(trials, 16); d < maxTrialInterval {
		interval = d
	}
	if sound && trials == 0 {
		interval = firstSoundTrial
	}
	return last.Add(interval)
}
