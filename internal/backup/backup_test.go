package backup_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/backup"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

const start = clock.Instant(time.Hour)

// longRun is a long prompt of deployment A, whose route may not resume.
func longRun() backup.Run {
	return backup.Run{
		ID: 1, Target: "e0", Service: "lm", DataCentre: "a-1", Tokens: 12400, Time: 3 * time.Second, Prefill: 130 * time.Millisecond,
		TokenTransfer: 1081 * time.Nanosecond, Setup: 5 * time.Millisecond, Running: 40,
	}
}

var sizes = backup.Sizes{DataCentre: 15, Service: 90}

func engines() []backup.Candidate {
	var all []backup.Candidate
	for i := range 6 {
		all = append(all, backup.Candidate{
			Target: fleet.TargetID(fmt.Sprint("e", i)), DataCentre: fleet.DataCentreID([]string{"a-1", "b-1"}[i%2]), Memory: 509036, Used: 100000,
		})
	}
	return all
}

// Copies cost transfers and memory. They must be carried where crashes are likely and the loss is large, and
// not on a calm fleet, for small runs, for runs that may be repeated, or long after a crash.
func TestCopiesAreCarriedWhereTheyPay(t *testing.T) {
	crash := func(id string, dc fleet.DataCentreID, age time.Duration) backup.Crash {
		return backup.Crash{Target: fleet.TargetID(id), StartMillis: 1, DataCentre: dc, Service: "lm", At: start.Add(-age)}
	}
	var lost []backup.Crash
	for i := range sizes.DataCentre {
		lost = append(lost, crash(fmt.Sprint("lost", i), "c-1", time.Second))
	}
	tests := map[string]struct {
		crashes []backup.Crash
		change  func(*backup.Run)
		want    bool
	}{
		"calm":                     {},
		"the target crashed":       {crashes: []backup.Crash{crash("e0", "a-1", 5*time.Second)}, want: true},
		"its data centre":          {crashes: []backup.Crash{crash("e2", "a-1", time.Second)}, want: true},
		"one of its service":       {crashes: []backup.Crash{crash("e3", "b-1", time.Second)}},
		"a data centre elsewhere":  {crashes: lost, want: true},
		"long ago":                 {crashes: []backup.Crash{crash("e0", "a-1", backup.Window)}},
		"small":                    {crashes: []backup.Crash{crash("e0", "a-1", 0)}, change: func(r *backup.Run) { r.Tokens = 826 }},
		"repeatable":               {crashes: []backup.Crash{crash("e2", "a-1", 0)}, change: func(r *backup.Run) { r.Repeatable = true }},
		"link used by copies":      {crashes: []backup.Crash{crash("e0", "a-1", 0)}, change: func(r *backup.Run) { r.SourceShare = 0.24 }},
		"half of the runs have it": {crashes: []backup.Crash{crash("e0", "a-1", 0)}, change: func(r *backup.Run) { r.Copies = 20 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var record backup.Record
			for _, c := range test.crashes {
				record.Add(c)
			}
			r := longRun()
			if test.change != nil {
				test.change(&r)
			}
			c, ok := backup.Choose(&r, &record, sizes, engines, start)
			if ok != test.want {
				t.Errorf("got %v with %+v, want %v", ok, c, test.want)
			}
			if ok && engines()[c.Index].DataCentre != "b-1" {
				t.Errorf("the copy goes to %+v, want another data centre", engines()[c.Index])
			}
		})
	}
}

// Copies must stay within their bounds whatever the inputs are, or they take the memory and the links
// of the runs themselves.
func TestCopiesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var record backup.Record
		now := start
		for range rapid.IntRange(0, 300).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
			record.Add(backup.Crash{
				Target: fleet.TargetID(fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "crashed"))), StartMillis: rapid.Int64Range(0, 99).Draw(t, "start"),
				DataCentre: "a-1", Service: "lm", At: now,
			})
		}
		if n := record.Len(now); n > 256 {
			t.Fatalf("%d crashes are kept, want at most 256", n)
		}
		all := engines()
		for i := range all {
			all[i].Used = rapid.IntRange(0, 600000).Draw(t, "used")
			all[i].Copied = rapid.IntRange(0, 80000).Draw(t, "copied")
			all[i].LinkShare = rapid.Float64Range(0, 0.4).Draw(t, "share")
		}
		r := longRun()
		r.Tokens = rapid.IntRange(0, 600000).Draw(t, "tokens")
		r.Time = time.Duration(rapid.Int64Range(-1, 1e11).Draw(t, "time"))
		r.Copies, r.Running = rapid.IntRange(0, 60).Draw(t, "copies"), rapid.IntRange(0, 100).Draw(t, "running")
		r.SourceShare = rapid.Float64Range(0, 0.4).Draw(t, "source")
		c, ok := backup.Choose(&r, &record, sizes, func() []backup.Candidate { return all }, now)
		if c.Chance < 0 || c.Chance > 1 {
			t.Fatalf("chance %v", c.Chance)
		}
		if !ok {
			return
		}
		to := all[c.Index]
		switch {
		case to.Target == r.Target, c.Saves <= c.Costs, r.Tokens < backup.MinTokens, r.Copies >= max(4, r.Running/2):
			t.Fatalf("%+v carries %+v to %+v", r, c, to)
		case to.Used+r.Tokens > to.Memory*3/4, to.Copied+r.Tokens > to.Memory/8:
			t.Fatalf("no room for %d tokens at %+v", r.Tokens, to)
		case to.LinkShare+c.LinkShare > backup.MaxLinkShare, r.SourceShare+c.LinkShare > backup.MaxLinkShare:
			t.Fatalf("links used by %+v and %+v: more than %v", to, c, backup.MaxLinkShare)
		}
	})
}
