package scheduler

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/where"
	"medlarwind.dev/medlarwind/internal/wire"
)

// dump appends all that a value refers to, unexported fields included, and what fills the unused capacity of slices.
func dump(out *strings.Builder, v reflect.Value, seen map[uintptr]int) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			out.WriteString("nil ")
			return
		}
		if n, ok := seen[v.Pointer()]; ok && v.Elem().Kind() == reflect.Struct {
			fmt.Fprintf(out, "&%d ", n)
			return
		}
		seen[v.Pointer()] = len(seen)
		dump(out, v.Elem(), seen)
	case reflect.Interface:
		if !v.IsNil() {
			dump(out, v.Elem(), seen)
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[sync.Mutex]() {
			return
		}
		for i := range v.NumField() {
			fmt.Fprintf(out, "%s{", v.Type().Field(i).Name)
			dump(out, v.Field(i), seen)
			out.WriteString("}\n")
		}
	case reflect.Slice:
		fmt.Fprintf(out, "%d of ", v.Len())
		v = v.Slice(0, v.Cap())
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			dump(out, v.Index(i), seen)
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			fmt.Fprintf(out, "%v:", k)
			dump(out, v.MapIndex(k), seen)
		}
	case reflect.Func, reflect.Chan:
	default:
		fmt.Fprintf(out, "%v ", v)
	}
}

func (ts *testScheduler) state() string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out strings.Builder
	dump(&out, reflect.ValueOf(ts.Scheduler), make(map[uintptr]int))
	return out.String()
}

// newVariedScheduler returns a scheduler some seconds into a load with everything that a decision reads through: shares of
// several customers, reports of peers and targets, kept prefixes, a cold, a limited, an avoided and a paused target,
// refused parts and a queue. The times are odd, so that sums and shares are due to be computed again.
func newVariedScheduler(t *testing.T, service catalog.Service) *testScheduler {
	ts := newTestScheduler(12)
	unused := engineList(1)[0]
	unused.ID, unused.Service, unused.Addr = "u0", "unused", "10.0.1.0:80"
	ts.SetTargets(append(engineList(12), unused), nil)
	ts.useService(service)
	ts.catalog.Limits.TokensPerSecond = 9000
	hello := wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}
	for i := range 40 {
		j := ts.job(fmt.Sprint("customer", i%4), fmt.Sprint("part", i%5), 4000)
		j.Service = &service
		if p, err := ts.admit(t.Context(), j); err == nil {
			ts.serve(p, 4000)
			p.ObserveLoad(LoadObservation{Report: &loadreport.Report{Running: 3, Waiting: i % 3, Slots: 64, Pace: 100 + i}, Ran: true})
		}
		time.Sleep(37 * time.Millisecond)
		hb := &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "e2", Running: 64, Memory: 1000}}}
		for _, id := range []fleet.TargetID{"e0", "e1", "e6", "e7", "e8", "e9", "e10", "e11"} {
			hb.Loads = append(hb.Loads, wire.TargetLoad{Target: id, Running: 20, Unread: 5000 + i, Memory: 90000})
		}
		ts.HandleHeartbeat(hello, hb)
		ts.Tick()
	}
	ts.mu.Lock()
	now := ts.now()
	ts.target("e3").avoidUntil = now.Add(time.Second)
	ts.target("e5").pause = pause{startMillis: 1, until: now.Add(time.Second)}
	ts.inventory.MarkCold("e6", time.Second, now)
	ts.limits.Observe("e7", 1, 1, true, now)
	for range 4 {
		ts.target("e6").starts.Add(now)
		ts.target("e7").starts.Add(now)
	}
	for i := range 8 {
		suspect := ts.job(fmt.Sprint("customer", i), "deadly", 4000)
		suspect.Service = &service
		suspect.prepare()
		ts.evidence.RecordCrash(uint64(i), suspect.traits, now.Add(-time.Duration(i)*150*time.Millisecond), now)
	}
	// The list is old but not to be had, which each look at it notes as an outage.
	ts.options.ListingConfirmedAt = func() clock.Instant { return now.Add(-3 * time.Second) }
	ts.inventory.MaxAge = 2 * time.Second
	ts.mu.Unlock()
	ts.NoteFailedRead()
	time.Sleep(730 * time.Millisecond) // shares, loads and pace are due, and the queue was not passed since
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.target("e4").probing = true // the end of a run there would end it
	for i := range 5 {
		waiting := ts.job(fmt.Sprint("customer", i%4), "part1", 4000)
		waiting.Service = &service
		waiting.prepare()
		ts.queue = append(ts.queue, &waiter{job: waiting, enqueuedAt: ts.now(), waitLimit: time.Second, decision: make(chan decision, 1)})
	}
	return ts
}

// question returns one of a variety of jobs to ask about.
func (ts *testScheduler) question(service *catalog.Service, i int) *Job {
	last := ts.lastID
	j := ts.job(fmt.Sprint("customer", i%6), []string{"part1", "new", "deadly", "part2"}[i%4], []int{4000, 400, 12000, 700000}[i/4%4])
	ts.lastID = last
	j.ID, j.Service = fmt.Sprint("asked", i), service
	if i%7 == 0 {
		j.AnyRegion, j.Regions = false, []fleet.RegionID{"rb"}
	}
	if i%11 == 0 {
		j.Deadline = ts.now()
	}
	return j
}

// A question that changed anything, if only when shares are computed next, would move real requests: the whole state and
// the next choices must be those of an instance that was not asked. What is answered must be what happens.
func TestAskingChangesNothing(t *testing.T) {
	other := fetching
	other.ID = "unused"
	for name, service := range map[string]catalog.Service{"engines": engines, "engines that fetch": fetching} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked, control *testScheduler
				var group sync.WaitGroup
				group.Go(func() { asked = newVariedScheduler(t, service) })
				group.Go(func() { control = newVariedScheduler(t, service) })
				group.Wait()
				before := asked.state()
				outcomes := make(map[string]int)
				for i := range 1000 {
					about := &service
					if i%50 == 49 {
						about = &other
					}
					a := asked.Where(asked.question(about, i))
					outcomes[string(a.Outcome)]++
					if a.Refusal != nil {
						outcomes[a.Refusal.Reason]++
					}
					for _, l := range a.LeftOut {
						outcomes[string(l.Reason)]++
					}
				}
				if after := asked.state(); after != before {
					t.Errorf("state changed: %s", firstDifference(before, after))
				}
				for _, want := range []string{
					"admitted", "refused", "waits", "too_large", "crashes_targets", "deadline", "region_not_allowed", "avoided_after_failures",
					"probing", "pause", "cold_starts", "target_limit",
				} {
					if outcomes[want] == 0 {
						t.Errorf("no answer with %s among %v", want, outcomes)
					}
				}
				seen := make(map[where.Outcome]int)
				for i := range 400 {
					var got [2]string
					var a where.Answer
					for k, ts := range []*testScheduler{asked, control} {
						if i%10 == 9 {
							ts.Tick()
						}
						ts.RecordArrival(ts.question(&service, i))
						if ts == asked {
							a = ts.Where(ts.question(&service, i))
						}
						got[k] = ts.decideOn(ts.question(&service, i))
					}
					answer := string(a.Outcome)
					switch {
					case a.Refusal != nil:
						answer = fmt.Sprint(a.Refusal.Reason, float64(a.Refusal.RetryAfter))
					case a.Outcome == where.Admitted:
						answer = string(a.Target)
						for _, c := range a.Candidates {
							if c.Chosen && c.Fetch != nil {
								answer += " from " + string(c.Fetch.Source)
							}
						}
					}
					seen[a.Outcome]++
					if got[0] != got[1] || answer != got[0] {
						t.Fatalf("decision %d is %s, answered was %s, decided without questions %s", i, got[0], answer, got[1])
					}
					time.Sleep(3 * time.Millisecond)
				}
				if len(seen) != 3 {
					t.Errorf("outcomes %v, want all three", seen)
				}
			})
		})
	}
}

// decideOn decides on a job as Admit does, and returns what became of it. A job that would wait is not kept.
func (ts *testScheduler) decideOn(j *Job) string {
	j.prepare()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.now()
	d := ts.Scheduler.place(j, false, now)
	if d.placement == nil && d.refusal == nil {
		var w *waiter
		w, d.refusal = ts.enqueue(j, false, now)
		ts.remove(w)
	}
	switch {
	case d.placement != nil && d.placement.Fetch != nil:
		return string(d.placement.Target.ID + " from " + d.placement.Fetch.Source.ID)
	case d.placement != nil:
		return string(d.placement.Target.ID)
	case d.refusal != nil:
		return fmt.Sprint(d.refusal.Reason, float64(where.MillisOf(d.refusal.RetryAfter)))
	}
	return string(where.Waits)
}

func firstDifference(a, b string) string {
	i := 0
	for i < min(len(a), len(b)) && a[i] == b[i] {
		i++
	}
	return fmt.Sprintf("...%s\nbecomes\n...%s", a[max(i-200, 0):min(i+60, len(a))], b[max(i-200, 0):min(i+60, len(b))])
}

// A field of the scheduler that is missing in the copy would make decisions there differ, or fail.
func TestDryRunCopyIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newVariedScheduler(t, fetching)
		notRead := []string{
			"mu", "late", "random", "retryBudgets", "brokenRuns", "crashes", "usageTotals", "recentUsage", "oddTimes", "isolationChanges",
			"candidateBuffer", "targetBuffer", "starts", "backups",
		}
		ts.mu.Lock()
		defer ts.mu.Unlock()
		whole, part := reflect.ValueOf(ts.Scheduler).Elem(), reflect.ValueOf(ts.dryRunCopy("lm", ts.now())).Elem()
		for i := range whole.NumField() {
			name := whole.Type().Field(i).Name
			if !whole.Field(i).IsZero() && part.Field(i).IsZero() && !slices.Contains(notRead, name) {
				t.Errorf("%s is not in the copy", name)
			}
		}
	})
}

// BenchmarkWhere measures one question while no engine can take the request. The mutex is held for this time.
func BenchmarkWhere(b *testing.B) {
	for _, engines := range []int{90, 1714} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			ts := newBusyScheduler(engines)
			ts.targetListFor(ts.job("customer-1", "part", 12000), ts.now())
			b.ReportAllocs()
			for b.Loop() {
				ts.Where(ts.job("customer-1", "part", 12000))
			}
		})
	}
}
