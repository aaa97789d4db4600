package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Jobs of services whose engines fetch prefixes must start by rank, position and the time left, and the other jobs in the
// queue must keep their places.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, zero := newFetchScheduler(), 0
		ts.SetCatalog(catalog.New(catalog.Config{
			Version: 1, Services: []catalog.Service{fetching}, Limits: catalog.Limits{TokensPerSecond: 430000},
			Customers: []catalog.Customer{{ID: "urgent", Priority: &zero}, {ID: "much"}, {ID: "little"}},
		}))
		ts.meter.AddUsage("urgent", 9e5, ts.now())
		ts.meter.AddUsage("much", 5e5, ts.now())
		route := stream
		route.Priority = 1
		var want []string
		for i, c := range []struct {
			customer  string
			deadline  time.Duration
			elapsed   time.Duration
			unordered bool
		}{
			{"urgent", 9 * time.Second, 0, false}, {"plain", 0, 0, true}, {"little", 9 * time.Second, 0, false},
			{"much", 3 * time.Second, 0, false}, {"much", 9 * time.Second, 0, false}, {"little", 9 * time.Second, 2 * time.Second, false},
		} {
			j := ts.job(c.customer, "part", 2000)
			j.ID, j.Service, j.Route, j.Elapsed, j.Deadline = fmt.Sprint(i), &fetching, &route, c.elapsed, ts.now().Add(c.deadline)
			j.prepare()
			w := &waiter{job: j, enqueuedAt: ts.now(), ordered: !c.unordered}
			w.waiting.Rank = ts.rank(j)
			ts.queue, want = append(ts.queue, w), append(want, j.ID)
		}
		// The ordered jobs come in reverse, around the other one.
		slices.Reverse(ts.queue)
		ts.queue[1], ts.queue[4] = ts.queue[4], ts.queue[1]
		ts.orderQueue(ts.now())
		var got []string
		for _, w := range ts.queue {
			got = append(got, w.job.ID)
		}
		if !slices.Equal(got, want) {
			t.Errorf("got order %v, want %v", got, want)
		}
	})
}

// A job behind more others than can start before its wait ends must be refused at once. Elsewhere it waits.
func TestJobThatCannotStartIsRefusedAtOnce(t *testing.T) {
	for service, want := range map[*catalog.Service]int{&fetching: 8, &engines: 20} {
		synctest.Test(t, func(t *testing.T) {
			ts := newTestScheduler(4)
			ts.useService(*service)
			waiting := 0
			for range 20 {
				j := ts.job("customer", "part", 2000)
				j.Service = service
				j.prepare()
				if _, refusal := ts.enqueue(j, false, ts.now()); refusal == nil {
					waiting++
				}
			}
			if c := ts.AdmissionCounters(); waiting != want || c.NoStart != int64(20-want) {
				t.Errorf("%d jobs wait, counters %+v, want %d", waiting, c, want)
			}
		})
	}
}

// A job that no target can answer before its deadline must be refused at once, not after its wait.
func TestJobThatIsTooLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newFetchScheduler()
		for i := range 4 * 20 {
			ts.startOn(fleet.TargetID(fmt.Sprint("e", i%4)), &fetching, func(j *Job) { j.Parts = nil })
		}
		j := ts.job("customer", "part", 2000)
		j.Service, j.Deadline = &fetching, ts.now().Add(300*time.Millisecond)
		_, err := ts.admit(t.Context(), j)
		if r := refusalOf(t, err); r.Waited != 0 || ts.AdmissionCounters().TooLate != 1 {
			t.Errorf("got %v, counters %+v, want a refusal at once", r, ts.AdmissionCounters())
		}
	})
}

// Refused callers of a customer must be told different times, later ones for later requests. Elsewhere the pauses stay as they are.
func TestRefusedCallersGetTurns(t *testing.T) {
	for service, wantTurns := range map[*catalog.Service]bool{&fetching: true, &engines: false} {
		synctest.Test(t, func(t *testing.T) {
			ts := newTestScheduler(4)
			ts.useService(*service)
			last := time.Duration(0)
			for i := range 20 {
				j := ts.job("customer", "part", 2000)
				j.Service = service
				pause := ts.refusal(j, ReasonBusy, ts.now(), ts.now()).RetryAfter
				if wantTurns && pause <= last || !wantTurns && pause != baseRetryDelay {
					t.Errorf("refusal %d: come back after %s, the one before after %s", i, pause, last)
				}
				last = pause
			}
		})
	}
}
