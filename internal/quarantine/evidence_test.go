package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/wire"
)

// evidenceStart is the time at which the tests begin.
const evidenceStart = clock.Instant(time.Hour)

// Keys of the parts in the tests.
const (
	common uint64 = 100 + iota
	deadly
	deadly2
	shared
)

// firstInOrder is the order of an instance that is alone.
func firstInOrder(uint64) (position, instances int) { return 0, 1 }

// evidenceNode is an Evidence with a clock.
type evidenceNode struct {
	*Evidence
	now     clock.Instant
	request uint64
	start   uint64
}

func newEvidenceNode() *evidenceNode {
	return &evidenceNode{Evidence: NewEvidence(), now: evidenceStart}
}

// traits returns a new request of a customer with the given parts.
func (n *evidenceNode) traits(customer uint32, parts ...uint64) *Traits {
	n.request++
	return &Traits{Whole: 1_000_000 + n.request, Parts: parts, Customer: customer}
}

// crash records that a target crashed under a request, a second after what was before.
func (n *evidenceNode) crash(t *Traits) {
	n.now = n.now.Add(time.Second)
	n.crashNow(t)
}

func (n *evidenceNode) crashNow(t *Traits) {
	n.start++
	n.RecordBreak(n.start, t, n.now)
	n.RecordCrash(n.start, t, n.now, n.now)
}

func (n *evidenceNode) isRefused(customer uint32, parts ...uint64) bool {
	return n.Check(n.traits(customer, parts...), n.now, firstInOrder).Refused
}

// Parts with which targets go on answering must not be refused, although they are in every
// request that crashes a target.
func TestPartOfAnsweredRequestsIsNotRefused(t *testing.T) {
	n := newEvidenceNode()
	for range 5 {
		n.RecordAnswering(n.traits(1, common, shared), n.now)
		n.crash(n.traits(1, common, shared, deadly))
	}
	if !n.isRefused(1, common, shared, deadly) {
		t.Error("requests with the deadly part may run after 5 crashes")
	}
	if n.isRefused(1, common, shared) {
		t.Error("requests with the other parts are refused")
	}
}

// Without any answer two parts that were always together cannot be told apart. Then the one
// that is in fewer requests must be refused, and the other once it crashes targets without it.
func TestInseparablePartsAreRefusedOneByOne(t *testing.T) {
	n := newEvidenceNode()
	for range refuseAfter {
		n.crash(n.traits(1, shared, deadly))
	}
	if !n.isRefused(1, shared, deadly) || n.isRefused(1, shared, 7) {
		t.Fatal("want the deeper part refused, the other one allowed")
	}
	n.crash(n.traits(1, shared, 7))
	if !n.isRefused(1, shared, 8) {
		t.Error("the other part may run after it crashed a target by itself, too")
	}
}

func TestTwoDeadlyPartsAreBothRefused(t *testing.T) {
	n := newEvidenceNode()
	for range refuseAfter {
		n.crash(n.traits(1, common, deadly))
		n.crash(n.traits(1, common, deadly2))
		n.RecordAnswering(n.traits(1, common), n.now)
	}
	if !n.isRefused(1, common, deadly) || !n.isRefused(1, common, deadly2) || n.isRefused(1, common) {
		t.Error("want both deadly parts refused, the common one allowed")
	}
}

// Two deadly parts, while nothing else is answered: the part that both kinds of requests share,
// with which targets answered before, must stay allowed. Otherwise all requests of the route
// would be refused.
func TestSharedPartOfTwoDeadlyOnesIsNotRefused(t *testing.T) {
	n := newEvidenceNode()
	n.RecordAnswering(n.traits(1, common), n.now)
	n.now = n.now.Add(10 * soundFor)
	for range refuseAfter {
		n.crash(n.traits(1, common, deadly))
		n.crash(n.traits(1, common, deadly2))
	}
	if n.isRefused(1, common) {
		t.Error("requests with the common part are refused")
	}
	if !n.isRefused(1, common, deadly) || !n.isRefused(1, common, deadly2) {
		t.Error("requests with a deadly part may run")
	}
}

// A deadly part crashes more targets than are kept, and a sound one is in some of its requests. The
// older crashes must not be held against the sound one.
func TestSoundPartIsNotRefusedForCrashesThatAreForgotten(t *testing.T) {
	n := newEvidenceNode()
	for i := range 4 * maxCrashes {
		if i%4 == 0 {
			n.crash(n.traits(1, shared, deadly))
		} else {
			n.crash(n.traits(1, uint64(1000+i), deadly))
		}
	}
	if !n.isRefused(1, deadly) || n.isRefused(1, shared) {
		t.Error("want the deadly part refused, the sound one allowed")
	}
}

// A part that targets answered with for long may begin to crash them.
func TestPartThatTurnsDeadlyIsRefused(t *testing.T) {
	n := newEvidenceNode()
	n.RecordAnswering(n.traits(1, common, shared), n.now)
	for range soundRefuseAfter + int(soundFor/time.Second) {
		n.crash(n.traits(1, common, shared))
		n.RecordAnswering(n.traits(1, common), n.now)
	}
	if !n.isRefused(1, common, shared) || n.isRefused(1, common) {
		t.Error("want the part refused that turned deadly, the other one allowed")
	}
}

// Targets that crash at the same moment have a cause outside the requests that they ran.
func TestTargetsThatCrashTogetherCondemnNothing(t *testing.T) {
	n := newEvidenceNode()
	for range 6 {
		n.crashNow(n.traits(1, shared))
		n.now = n.now.Add(5 * time.Millisecond)
	}
	if n.isRefused(1, shared) {
		t.Error("a part is refused after targets crashed together")
	}
}

// A single request that crashes targets must not have its parts refused.
func TestDeadlyRequestIsRefusedWithoutItsParts(t *testing.T) {
	n := newEvidenceNode()
	request := n.traits(1, common, shared)
	for range refuseAfter + 1 {
		n.crash(request)
	}
	if !n.Check(request, n.now, firstInOrder).Refused {
		t.Error("the request may run")
	}
	if n.isRefused(1, common, shared) {
		t.Error("other requests with the same parts are refused")
	}
}

// One customer alone cannot have the parts of another refused.
func TestCrashesOfOneCustomerDoNotRefuseAnother(t *testing.T) {
	n := newEvidenceNode()
	for range 6 {
		n.crash(n.traits(1, shared))
	}
	if !n.isRefused(1, shared) {
		t.Error("the customer whose requests crashed targets may send more")
	}
	if n.isRefused(2, shared) {
		t.Error("another customer is refused")
	}
	n.crash(n.traits(2, shared))
	if !n.isRefused(3, shared) {
		t.Error("the part is allowed although requests of two customers crashed targets")
	}
}

// A part that was refused wrongly must become allowed by a trial that targets answer, and one
// that crashes targets must cost few trials.
func TestRefusedPartIsTried(t *testing.T) {
	n := newEvidenceNode()
	for range refuseAfter {
		n.crash(n.traits(1, shared))
	}
	var crashed, refusedFor int
	for range 90 {
		n.now = n.now.Add(time.Second)
		request := n.traits(1, shared)
		j := n.Check(request, n.now, firstInOrder)
		if j.Refused && j.TrialIn > 0 {
			refusedFor++
		}
		if !j.Trial {
			continue
		}
		n.RecordTrial(request, n.now)
		if again := n.Check(n.traits(1, shared), n.now, firstInOrder); !again.Refused {
			t.Error("two trials at once")
		}
		crashed++
		n.crashNow(request)
	}
	if crashed < 1 || crashed > 3 || refusedFor < 80 {
		t.Errorf("%d trials in 90 s, refused with the time of the next one %d times, want 1 to 3 trials", crashed, refusedFor)
	}
	n.now = n.now.Add(maxTrialInterval)
	request := n.traits(1, shared)
	if j := n.Check(request, n.now, firstInOrder); !j.Trial {
		t.Fatalf("%+v, want a trial", j)
	}
	n.RecordTrial(request, n.now)
	n.RecordAnswering(request, n.now)
	if n.isRefused(1, shared) {
		t.Error("the part is still refused after a target answered the trial")
	}
}

// When requests with a refused part come again after a long time, at all instances at once, few
// of them may run before word of the first trial has spread.
func TestTrialsOfFleetAreFew(t *testing.T) {
	const instances = 90
	n := newEvidenceNode()
	for range refuseAfter {
		n.crash(n.traits(1, shared))
	}
	for _, pause := range []time.Duration{firstTrial, 3 * firstTrial, 10 * time.Minute} {
		now := n.now.Add(pause)
		turns := make(map[int]bool)
		for position := range instances {
			j := n.Check(n.traits(1, shared), now, func(uint64) (int, int) { return position, instances })
			if j.Trial {
				turns[position] = true
			} else if j.TrialIn <= 0 {
				t.Errorf("instance %d is refused with no time to come back", position)
			}
		}
		if len(turns) == 0 || len(turns) > maxTrialTurns {
			t.Errorf("%d instances may try after %s, want 1 to %d", len(turns), pause, maxTrialTurns)
		}
		// Each instance has a turn.
		for range instances {
			now = now.Add(trialTurn)
			for position := range instances {
				if n.Check(n.traits(1, shared), now, func(uint64) (int, int) { return position, instances }).Trial {
					turns[position] = true
				}
			}
		}
		if len(turns) != instances {
			t.Errorf("%d of %d instances had a turn", len(turns), instances)
		}
	}
}

// A record that is not asked for any more must be dropped.
func TestOldEvidenceIsDropped(t *testing.T) {
	n := newEvidenceNode()
	for range refuseAfter {
		n.crash(n.traits(1, shared))
	}
	n.crash(n.traits(1, 7))
	n.now = n.now.Add(refusedTTL + time.Minute)
	n.Report(n.now)
	n.now = n.now.Add(expireInterval)
	n.Report(n.now)
	if len(n.records) != 0 {
		t.Errorf("%d records are left, want none", len(n.records))
	}
}

// Callers may send many new parts. Memory and reports must stay bounded, and the part that
// crashes targets must be found among them.
func TestManyNewPartsStayBounded(t *testing.T) {
	n := newEvidenceNode()
	next := uint64(10_000)
	newParts := func(parts ...uint64) []uint64 {
		for range 255 {
			next++
			parts = append(parts, next)
		}
		return parts
	}
	for range 200 {
		n.RecordAnswering(n.traits(1, newParts()...), n.now)
		n.crash(n.traits(2, newParts()...))
	}
	for range refuseAfter {
		n.crash(n.traits(3, newParts(deadly)...))
	}
	if sound, known := len(n.sound)+len(n.soundBefore), len(n.known)+len(n.knownBefore); len(n.records) > maxRecords+trimSlack ||
		sound > 2*maxSoundParts || known > 2*maxKnownParts {
		t.Errorf("%d records, %d sound parts, %d known ones", len(n.records), sound, known)
	}
	if report := n.Report(n.now); len(report) > maxReported || report[0].Trait != deadly {
		t.Errorf("%d records reported, the first on %d; want at most %d, the first on the deadly part", len(report), report[0].Trait, maxReported)
	}
	if !n.isRefused(3, deadly) {
		t.Error("the deadly part may run")
	}
}

// Instances that see different crashes and answers must come to the same decision, in
// whatever order reports arrive, repeat or are lost; an instance that starts later, too.
func TestInstancesAgreeOnRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		nodes := make([]*evidenceNode, rapid.IntRange(2, 5).Draw(t, "instances"))
		now := evidenceStart
		for i := range nodes {
			nodes[i] = newEvidenceNode()
			nodes[i].request, nodes[i].start = uint64(i*1000), uint64(i*1000)
		}
		exchange := func(lost float64) {
			for _, to := range rng.Perm(len(nodes)) {
				for _, from := range rng.Perm(len(nodes)) {
					if rng.Float64() >= lost {
						nodes[to].Merge(nodes[from].Report(now), now)
					}
				}
			}
		}
		for range 8 + rng.IntN(10) {
			now = now.Add(time.Duration(100+rng.IntN(400)) * time.Millisecond)
			n := nodes[rng.IntN(len(nodes))]
			n.now = now
			if rng.IntN(3) == 0 {
				n.RecordAnswering(n.traits(1, common, shared), now)
			}
			if rng.IntN(2) == 0 {
				n.crashNow(n.traits(uint32(1+rng.IntN(2)), common, shared, deadly))
			}
			exchange(0.5)
		}
		nodes = append(nodes, newEvidenceNode())
		for range len(nodes) {
			exchange(0)
		}
		for _, part := range []uint64{common, shared, deadly} {
			want := nodes[0].records[part] != nil && nodes[0].records[part].refused
			for i, n := range nodes {
				if got := n.records[part] != nil && n.records[part].refused; got != want {
					t.Fatalf("part %d: refused at instance 0: %v, at instance %d: %v", part, want, i, got)
				}
			}
		}
	})
}

// Reports are untrusted in size and values.
func TestMergeIgnoresInvalidReports(t *testing.T) {
	n := newEvidenceNode()
	var report []wire.Evidence
	for i := range 10 * maxReported {
		w := wire.Evidence{Trait: uint64(i), Trials: 1, TrialAgeMillis: -5}
		for c := range 10 * maxCrashes {
			w.Crashes = append(w.Crashes, wire.Crash{Target: uint64(c), AgeMillis: int64(c%3) * -1})
		}
		report = append(report, w)
	}
	n.Merge(report, n.now)
	if len(n.records) > maxReported {
		t.Errorf("%d records, want at most %d", len(n.records), maxReported)
	}
	for _, r := range n.records {
		if len(r.crashes) > maxCrashes || r.trials != 0 {
			t.Fatalf("%+v", r)
		}
	}
}

// BenchmarkReport reports and merges the evidence of an incident with several deadly parts.
func BenchmarkReport(b *testing.B) {
	n, peer := newEvidenceNode(), newEvidenceNode()
	for i := range 300 {
		n.crashNow(n.traits(uint32(i%7), common, uint64(i%8), uint64(500+i%40)))
		n.now = n.now.Add(200 * time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		n.undecided, peer.undecided = true, true
		peer.Merge(n.Report(n.now), n.now)
	}
}

// BenchmarkAnswering records the first events of requests while parts are refused.
func BenchmarkAnswering(b *testing.B) {
	n := newEvidenceNode()
	for range refuseAfter {
		n.crash(n.traits(1, deadly))
	}
	request := n.traits(2, common, shared)
	b.ReportAllocs()
	for b.Loop() {
		n.now = n.now.Add(time.Millisecond)
		n.Check(request, n.now, firstInOrder)
		n.RecordAnswering(request, n.now)
	}
}

// While nothing is answered, targets also crash for other reasons, under requests of which one part
// then explains the crashes of the deadly one, too. That must not allow the deadly one again.
func TestOtherExplanationAllowsDeadlyPart(t *testing.T) {
	n := newEvidenceNode()
	for range refuseAfter {
		n.crash(n.traits(1, shared, deadly))
	}
	if !n.isRefused(1, deadly) {
		t.Fatal("the deadly part may run after it crashed targets")
	}
	for range refuseAfter {
		n.crash(n.traits(1, shared))
		if !n.isRefused(1, deadly) {
			t.Fatal("the deadly part may run, though no target has answered with it")
		}
	}
	n.RecordAnswering(n.traits(1, shared), n.now)
	if !n.isRefused(1, deadly) || n.isRefused(1, shared) {
		t.Error("want the deadly part refused and the other one allowed after a target answered with that")
	}
}
