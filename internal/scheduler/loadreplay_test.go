package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// machine is a target that is 2.5 times slower for 600 ms at a time. An engine prefills one prompt after the other; a plain
// target works in all its slots at once.
type machine struct {
	factor float64
	// ends holds the ends of usual and slow periods in turn.
	ends     []clock.Instant
	idleAt   clock.Instant
	atTarget int
	slots    chan struct{}
}

// paceAt returns the pace at a time, as a factor, and when it changes.
func (m *machine) paceAt(at clock.Instant) (float64, clock.Instant) {
	i, _ := slices.BinarySearch(m.ends, at+1)
	return []float64{1, 2.5}[i%2], m.ends[i]
}

// finish returns when work that usually takes d is done if it begins at a time.
func (m *machine) finish(at clock.Instant, d time.Duration) clock.Instant {
	for left := float64(d) * m.factor; ; {
		pace, until := m.paceAt(at)
		if at+clock.Instant(left*pace) <= until {
			return at + clock.Instant(left*pace)
		}
		left -= float64(until-at) / pace
		at = until
	}
}

// replayResult holds the mean time to the first event, and the part of the starts on machines that were slow.
type replayResult struct {
	mean time.Duration
	slow float64
}

// replay sends calls every 2 ms for 30 s to 12 targets of unequal speed that are slow for 15 % of the time, through 12
// instances that exchange heartbeats.
func replay(t *testing.T, service catalog.Service, disabled string, work time.Duration, callsPerStep float64) (result replayResult) {
	const instances, targets = 12, 12
	rng := rand.New(rand.NewPCG(1, 0))
	now := clock.Monotonic()
	slots := 24
	if service.Engine == nil {
		slots = 6
	}
	machines := make(map[fleet.TargetID]*machine)
	var listed []inventory.Target
	for i := range targets {
		m := &machine{factor: []float64{0.55, 1.2, 1.2, 1.2}[i%4], slots: make(chan struct{}, slots)}
		for at := now(); at < now().Add(10*time.Minute); at = at.Add(600 * time.Millisecond) {
			at = at.Add(time.Duration(rng.ExpFloat64() * float64(3400*time.Millisecond)))
			m.ends = append(m.ends, at, at.Add(600*time.Millisecond))
		}
		id := fleet.TargetID(fmt.Sprint("t", i))
		machines[id] = m
		listed = append(listed, inventory.Target{ID: id, StartMillis: 1, Service: service.ID, DataCentre: "a", Slots: slots})
	}
	features, err := feature.Without(disabled)
	if err != nil {
		t.Fatal(err)
	}
	var members []roster.Member
	var all []*Scheduler
	for i := range instances {
		members = append(members, roster.Member{ID: fleet.InstanceID(fmt.Sprint("r", i)), DataCentre: "a"})
		all = append(all, New(Options{
			Self: members[i].ID, Incarnation: fleet.Incarnation(i + 1), DataCentre: "a", Now: now, Features: features,
			Regions: map[fleet.DataCentreID]fleet.RegionID{"a": "ra"}, ShareWindow: 4 * time.Second, RetryWindow: 10 * time.Second,
		}))
	}
	for _, s := range all {
		s.SetCatalog(catalog.New(catalog.Config{Version: 1, Services: []catalog.Service{service}}))
		s.SetTargets(listed, nil)
		s.SetAlive(members)
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	var total time.Duration
	calls, slow := 0, 0
	call := func(s *Scheduler, j *Job) {
		s.RecordArrival(j)
		p, err := s.Admit(t.Context(), j, false)
		if err != nil {
			return
		}
		m := machines[p.Target.ID]
		mu.Lock()
		if pace, _ := m.paceAt(now()); pace > 1 {
			slow++
		}
		m.atTarget++
		mu.Unlock()
		m.slots <- struct{}{}
		mu.Lock()
		done := m.finish(max(m.idleAt, now()), work)
		if service.Engine != nil {
			m.idleAt = done
		}
		mu.Unlock()
		time.Sleep(done.Sub(now()))
		mu.Lock()
		pace, _ := m.paceAt(now())
		r := loadreport.Report{Running: len(m.slots), Waiting: m.atTarget - len(m.slots), Slots: slots, Pace: int(100 * pace)}
		total += now().Sub(j.Arrived)
		calls++
		mu.Unlock()
		p.ObserveLoad(LoadObservation{Report: &r, Ran: true})
		p.PrefillDone()
		if service.Engine != nil {
			time.Sleep(300 * time.Millisecond)
		}
		mu.Lock()
		m.atTarget--
		mu.Unlock()
		<-m.slots
		p.End(Completed)
	}
	for n := range 15000 {
		for i, s := range all {
			if n%10 == 0 {
				s.Tick()
			}
			// Heartbeats of different instances are sent at different times.
			for k := 0; k < instances && n%100 == i*100/instances; k++ {
				if k == i {
					continue
				}
				hb := &wire.Heartbeat{Incarnation: fleet.Incarnation(i + 1)}
				s.FillHeartbeat(hb, members[k].ID, wire.ScopeOwn)
				all[k].HandleHeartbeat(wire.Hello{Instance: members[i].ID, Incarnation: hb.Incarnation, DataCentre: "a"}, hb)
			}
		}
		for left := callsPerStep; rng.Float64() < left; left-- {
			j := &Job{
				ID: fmt.Sprint(n, left), Route: &stream, Service: &service, Customer: "c", AnyRegion: true,
				Arrived: now(), Deadline: now().Add(10 * time.Second),
			}
			if service.Engine != nil {
				j.Prompt, j.Output = int(100*work.Milliseconds()), 40
			}
			s := all[rng.IntN(instances)]
			group.Go(func() { call(s, j) })
		}
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	return replayResult{mean: total / time.Duration(max(calls, 1)), slow: float64(slow) / float64(max(calls, 1))}
}

// With reports fewer calls must begin on slow machines, and calls to plain services must take less time.
func TestReplayOfSlowMachines(t *testing.T) {
	for _, test := range []struct {
		service      catalog.Service
		work         time.Duration
		callsPerStep float64
	}{
		{plain, 30 * time.Millisecond, 0.7}, {plain, 30 * time.Millisecond, 2},
		{engines, 66 * time.Millisecond, 0.2}, {engines, 20 * time.Millisecond, 0.7},
	} {
		var without, with replayResult
		synctest.Test(t, func(t *testing.T) {
			without = replay(t, test.service, string(feature.LoadReports), test.work, test.callsPerStep)
		})
		synctest.Test(t, func(t *testing.T) { with = replay(t, test.service, "", test.work, test.callsPerStep) })
		t.Logf("%s, %.1f calls of %v each 2 ms: mean %v without reports, %v with; on slow machines %.3f and %.3f", test.service.ID,
			test.callsPerStep, test.work, without.mean, with.mean, without.slow, with.slow)
		if with.slow >= without.slow || test.service.Engine == nil && with.mean >= without.mean {
			t.Errorf("%s: %+v with reports, %+v without, want less", test.service.ID, with, without)
		}
	}
}
