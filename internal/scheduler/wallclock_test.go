package scheduler

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// beliefs returns all that decisions on a job rest on now.
func (ts *testScheduler) beliefs(j *Job) string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.options.Now()
	candidates, _ := ts.candidates(j, ts.targetListFor(j, now), now)
	e, _ := ts.inventory.Get("e0")
	used, allowed := ts.retryBudget("lm").State(now)
	budget := fmt.Sprint(used, allowed)
	return fmt.Sprintf("%+v held %d until %d, limit %+v, shares %+v, inputs %+v, current %t, listing %s, cold %t, budget %s, left %s",
		slices.Clone(candidates), j.heldTargets, j.heldUntil, ts.loadLimit(j, now), ts.shares(now), ts.inputs(j, now),
		ts.isListingCurrent(now), ts.listingAge(now), e.IsCold(now), budget, j.Deadline.Sub(now))
}

// A clock that NTP or an operator sets jumps by hours. Ages, estimates and deadlines follow the
// scheduler's own clock: after a jump of time.Now alone all of them must be the same.
func TestWallClockJumpChangesNoBelief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(4)
		now, jumped := ts.now, time.Duration(0)
		ts.now = func() clock.Instant { return now().Add(-jumped) }
		ts.options.Now = ts.now
		ts.options.ListingConfirmedAt = func() clock.Instant { return clock.Instant(time.Hour) }
		for i := range 8 {
			p, err := ts.admit(t.Context(), ts.job("c", fmt.Sprint("s", i%3), 6000))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			if i%2 == 0 {
				p.PrefillDone()
			}
		}
		p, err := ts.admit(t.Context(), ts.job("c", "s0", 6000))
		if err != nil {
			t.Fatal(err)
		}
		p.End(DialTimedOut)
		ts.report("e0")
		ts.HandleHeartbeat(wire.Hello{Instance: "r2", Incarnation: 1, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 1, BrokenTargets: []fleet.TargetID{"e1"}})
		j := ts.job("c", "s1", 6000)
		j.prepare()
		ts.Tick()
		before := ts.beliefs(j)
		jumped = 5 * time.Hour
		time.Sleep(jumped)
		ts.Tick()
		if after := ts.beliefs(j); after != before {
			t.Errorf("after a jump of %s:\n%s\nbefore:\n%s", jumped, after, before)
		}
	})
}

// Packages whose decisions rest on ages get the time from their callers, as clock.Instant. A call of
// time.Now in them would make an age depend on a clock that jumps or stops.
func TestDecisionsReadNoClock(t *testing.T) {
	for _, name := range []string{
		"affinity", "catalog", "exchange", "inventory", "locate", "membership", "pacing", "placement", "quota", "roster", "scheduler", "speed",
	} {
		files, err := fs.Glob(os.DirFS("../"+name), "*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("package %s: %d files, error %v", name, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), "../"+name+"/"+file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains([]string{"Now", "Since", "Until"}, s.Sel.Name) {
					t.Errorf("%s/%s reads the clock by time.%s", name, file, s.Sel.Name)
				}
				return true
			})
		}
	}
}
