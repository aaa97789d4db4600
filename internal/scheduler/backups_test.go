package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// newCopyScheduler returns a scheduler with engines that copy runs, of which e0 and e3 have just crashed.
func newCopyScheduler() (*testScheduler, *catalog.Service) {
	service := fetching
	engine := *fetching.Engine
	engine.Backups, engine.HandleTime = true, 5*time.Second
	service.Engine = &engine
	ts := newTestScheduler(4)
	ts.useService(service)
	for _, id := range []fleet.TargetID{"e0", "e3"} {
		e, _ := ts.inventory.Get(id)
		ts.noteCrash(id, e.StartMillis, ts.now())
	}
	return ts, &service
}

func streaming(j *Job) {
	j.ID = "run"
	j.Route = &catalog.Route{Name: "cut", Kind: catalog.Stream, MaxTargets: 1}
}

// A copy takes memory at a second engine. If it were not counted there, runs would be placed into it; if it were
// not released after the run, or once the engine frees it, the engine would seem full for good. Nobody tells an engine
// to free a copy, also if the instance dies.
func TestMemoryOfCopyIsCountedUntilItIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, outcome := range []Outcome{Completed, Rejected, Unreachable, Broken, Abandoned} {
			ts, service := newCopyScheduler()
			p := ts.startOn("e1", service, streaming)
			if p.Backup == nil {
				t.Fatal("a large run carries no copy after a crash in its service")
			}
			holder := ts.target(p.Backup.Target.ID)
			if holder.ownLoad.Memory != p.Backup.Tokens || holder.ownLoad.Running != 0 {
				t.Errorf("load %+v of the target of a copy of %d tokens", holder.ownLoad, p.Backup.Tokens)
			}
			p.End(outcome)
			kept := outcome == Broken || outcome == Abandoned
			time.Sleep(service.Engine.HandleTime - time.Millisecond)
			ts.Tick()
			if (holder.ownLoad.Memory != 0) != kept {
				t.Errorf("outcome %d: memory %d after the run", outcome, holder.ownLoad.Memory)
			}
			time.Sleep(time.Millisecond)
			ts.Tick()
			if holder.ownLoad.Memory != 0 || len(ts.backups.loads) != 0 || ts.BackupCounters().Current != 0 {
				t.Errorf("outcome %d: memory %d, %v after the copy was freed", outcome, holder.ownLoad.Memory, ts.backups.loads)
			}
			if next, result := p.Continue(); kept && (next != nil || result != ContinueLate) {
				t.Errorf("a run goes on from a copy that was freed: %s", result)
			}
		}
	})
}

// The run that goes on is the same one: the memory of the copy becomes its own, and nothing is charged twice.
func TestContinuedRunIsNotChargedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, service := newCopyScheduler()
		p := ts.startOn("e1", service, streaming)
		p.End(Broken)
		used := ts.meter.Usage(p.job.Customer, ts.now())
		next, _ := p.Continue()
		if next == nil || ts.target(next.Target.ID).ownLoad.Memory != p.Backup.Tokens || ts.target(next.Target.ID).ownLoad.Running != 1 {
			t.Fatalf("%+v, want a run with the memory of the copy", next)
		}
		next.End(Unsent)
		if now := ts.meter.Usage(p.job.Customer, ts.now()); now != used {
			t.Errorf("usage %v, want %v", now, used)
		}
		if again := ts.startOn("e2", service, func(j *Job) { streaming(j); j.ran = true }); again.Backup != nil {
			t.Error("a repeated run carries a copy, which engines cannot tell from that of the first one")
		}
	})
}

// Runs must carry no copies where the part is switched off or the engines do not offer it.
func TestNoCopiesWhereNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, disable := range []string{"run-backups", "prefix-fetch", ""} {
			ts, service := newCopyScheduler()
			ts.options.Features, _ = feature.New("run-backups", disable)
			service.Engine.Backups = disable != ""
			if p := ts.startOn("e1", service, streaming); p.Backup != nil || p.NeedsCrashCheck() {
				t.Errorf("without %q: copy %+v", disable, p.Backup)
			}
		}
	})
}
