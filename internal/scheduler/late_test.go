package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A start whose first event surely comes after the job's deadline uses an engine for nobody. Before
// the limit on it, a replacement began 0.28 s before the deadline and ran on for 2.5 s after it.
func TestStartThatIsTooLateIsNotMade(t *testing.T) {
	for name, test := range map[string]struct {
		left    time.Duration
		prompt  int
		started bool
	}{
		"in time":                    {280 * time.Millisecond, 6000, true},
		"too late":                   {280 * time.Millisecond, 60000, false},
		"estimate may be too long":   {280 * time.Millisecond, 24000, true},
		"long before the deadline":   {15 * time.Second, 60000, true},
		"no time for a short prompt": {0, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestScheduler(2)
				j := ts.job("c", "part", test.prompt)
				j.Parts = nil
				j.Deadline = ts.now().Add(test.left)
				p, err := ts.admit(context.Background(), j)
				if (err == nil) != test.started {
					t.Errorf("got placement %+v, error %v, want a start: %t", p, err, test.started)
				}
				if p == nil && test.left > 0 && refusalOf(t, err).Inputs.LateTargets != 2 {
					t.Errorf("refused with %+v, want 2 late targets", refusalOf(t, err).Inputs)
				}
			})
		})
	}
}

// A replacement must not begin when less time is left than a connection and a first event take, for
// generations and calls to plain services, or when it surely comes too late.
func TestReplacementThatIsTooLateIsNotBegun(t *testing.T) {
	for name, test := range map[string]struct {
		left   time.Duration
		prompt int
		begun  bool
	}{
		"in time":               {280 * time.Millisecond, 6000, true},
		"too late":              {280 * time.Millisecond, 60000, false},
		"less than a first run": {minReplacementTime, 10, false},
		"just enough":           {minReplacementTime + time.Millisecond, 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestScheduler(2)
				j := ts.job("c", "part", test.prompt)
				j.Parts = nil
				first, err := ts.admit(context.Background(), j)
				if err != nil {
					t.Fatal(err)
				}
				j.Exclude(first.Target.ID)
				first.End(Abandoned)
				j.Deadline = ts.now().Add(test.left)
				if p := ts.Replace(j); (p != nil) != test.begun {
					t.Errorf("got replacement %+v, want one: %t", p, test.begun)
				}
			})
		})
	}
}
