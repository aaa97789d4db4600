//go:build linux

package main

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/client"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/localfleet"
)

// longAnswerTokens takes an engine stand-in a second.
const longAnswerTokens = 200

// firstInstance is the instance that a client's requests go to first.
func (f *processFleet) firstInstance(c *client.Client) *member {
	f.t.Helper()
	addresses, err := c.Locate(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return f.memberAt(addresses[0])
}

// saturate sends more requests through an instance than both engines can run, and
// returns when some run and some wait there.
func (f *processFleet) saturate(c *client.Client, entry *member) *load {
	f.t.Helper()
	l := f.startLoad(c, 6*engineLimit, longAnswerTokens)
	eventually(f.t, "requests run and wait at "+string(entry.id), func() bool {
		s, _ := entry.status()
		return s.Running > 0 && s.Waiting > 0
	})
	return l
}

func TestGracefulStopCompletesRequests(t *testing.T) {
	f := startFleet(t)
	c := f.client(0, f.members...)
	entry := f.firstInstance(c)
	cachedClient := f.client(0, entry)
	if f.firstInstance(cachedClient) != entry {
		t.Fatal("two clients of one customer are sent to different instances")
	}
	l := f.saturate(c, entry)
	entry.signal(syscall.SIGTERM)
	eventually(t, "the instance is stopping", func() bool {
		s, _ := entry.status()
		return s.Draining
	})
	before := f.runs()
	// The kept answer still names the stopping instance, which serves for its lifetime.
	lateLoad := f.startLoad(cachedClient, engineLimit, 4)
	for _, m := range f.others(entry) {
		if got := f.firstInstance(f.client(0, m)); got == entry {
			t.Errorf("%s sends callers to the stopping instance", m.id)
		}
	}
	for _, err := range append(l.wait(), lateLoad.wait()...) {
		t.Errorf("cut or refused: %v", err)
	}
	if code := entry.exitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	runs := f.runs()
	for _, prompt := range append(l.prompts, lateLoad.prompts...) {
		if runs[prompt] != 1 {
			t.Errorf("%s ran %d times, %d before the stop", prompt, runs[prompt], before[prompt])
		}
	}
	f.mustServe(c, 4)
	f.mustServe(cachedClient, 4)
	f.checkLimits()
}

func TestOthersServeAfterKill(t *testing.T) {
	tests := map[string]func(f *processFleet, entry *member) *member{
		"entry": func(_ *processFleet, entry *member) *member { return entry },
		"owner": func(f *processFleet, entry *member) *member { return f.ownerOf("north-e1", entry) },
	}
	for name, victimOf := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t)
			c := f.client(0, f.members...)
			entry := f.firstInstance(c)
			victim := victimOf(f, entry)
			l := f.saturate(c, entry)
			victim.kill()
			for _, err := range l.wait() {
				if victim != entry || !outcomeUnknown(err) {
					t.Errorf("not served, and not by the entry's death: %v", err)
				}
			}
			f.mustServe(c, 4)
			eventually(t, "the killed instance owns nothing", func() bool {
				owner := f.ownerOf("north-e1", f.others(victim)[0])
				return owner != nil && owner != victim
			})
			f.mustServe(f.client(1, f.others(victim)...), longAnswerTokens)
			f.checkLimits()
		})
	}
}

// outcomeUnknown reports whether the caller was told that the outcome is not known.
func outcomeUnknown(err error) bool {
	var failed *client.RequestError
	return errors.As(err, &failed) && failed.Kind == client.Unknown
}

// leaseExpiryPause is a pause after which every lease of an instance has ended.
func leaseExpiryPause() time.Duration {
	p := limit.DefaultParams()
	return 2 * (p.HoldDown + p.UnreachableAfter + p.ReportLag)
}

func TestPausedInstanceKeepsLimitsAndCallIDs(t *testing.T) {
	f := startFleet(t)
	c := f.client(0, f.members...)
	paused := f.firstInstance(c)
	id, err := c.IssueCallID(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if f.memberAt(id.Address) != paused {
		t.Fatalf("the call id belongs to %s", id.Address)
	}
	call := make(chan error, 1)
	go func() { call <- callOnce(c, id) }()
	eventually(t, "the call runs", func() bool { return f.callRuns(id.ID) > 0 })
	l := f.saturate(c, paused)
	paused.signal(syscall.SIGSTOP)
	stopped := time.Now()
	// An instance ranks itself first, so that this load never goes to the paused one.
	others := f.client(1, f.members[2])
	// It keeps both engines as full as allowed until all leases have ended.
	for time.Since(stopped) < leaseExpiryPause() {
		for _, err := range f.startLoad(others, 3*engineLimit, 40).wait() {
			var failed *client.RequestError
			if !errors.As(err, &failed) || failed.Kind != client.NotRun {
				t.Errorf("while the instance pauses: %v", err)
			}
		}
	}
	fullLoad := f.startLoad(others, 6*engineLimit, longAnswerTokens)
	paused.signal(syscall.SIGCONT)
	for _, err := range fullLoad.wait() {
		t.Errorf("after the pause: %v", err)
	}
	for _, err := range l.wait() {
		var failed *client.RequestError
		if !errors.As(err, &failed) {
			t.Errorf("through the paused instance: %v", err)
		}
	}
	if err := <-call; err != nil && !outcomeUnknown(err) {
		t.Errorf("the call: %v", err)
	}
	_ = callOnce(c, id)
	if runs := f.callRuns(id.ID); runs != 1 {
		t.Errorf("the call ran %d times", runs)
	}
	f.awaitReady(paused)
	f.mustServe(f.client(0, paused), 4)
	f.checkLimits()
}

// An instance that answers nobody is named to no caller once its peers have noticed.
func TestCallersAreNotSentToSilentInstance(t *testing.T) {
	f := startFleet(t)
	paused := f.firstInstance(f.client(0, f.members[0]))
	asked := f.others(paused)[0]
	paused.signal(syscall.SIGSTOP)
	eventually(t, "the peers have noticed", func() bool {
		return f.ownerOf("north-e1", asked) == asked
	})
	if first := f.firstInstance(f.client(0, asked)); first == paused {
		t.Errorf("%s sends callers to %s, which answers nobody", asked.id, paused.id)
	}
}

// callOnce sends the call with an id, which may not be repeated.
func callOnce(c *client.Client, id client.CallID) error {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	body, err := c.CallOnce(ctx, id, string(localfleet.ServiceName), "settle", []byte("lot 7"))
	if err == nil && string(body) != "lot 7" {
		return errors.Errorf("the answer is %q", body)
	}
	return err
}

func TestRestartWithoutState(t *testing.T) {
	f := startFleet(t)
	c := f.client(0, f.members...)
	entry := f.firstInstance(c)
	id, err := c.IssueCallID(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = callOnce(c, id) }()
	eventually(t, "the call runs", func() bool { return f.callRuns(id.ID) > 0 })
	l := f.saturate(c, entry)
	before, _ := entry.status()
	entry.kill()
	f.startMember(entry)
	for _, err := range l.wait() {
		if !outcomeUnknown(err) {
			t.Errorf("through the killed instance: %v", err)
		}
	}
	f.awaitReady(entry)
	after, _ := entry.status()
	if after.Incarnation == before.Incarnation {
		t.Error("the incarnation is the same")
	}
	if err := callOnce(c, id); !outcomeUnknown(err) {
		t.Errorf("a call id of the former run: %v", err)
	}
	if runs := f.callRuns(id.ID); runs != 1 {
		t.Errorf("the call ran %d times", runs)
	}
	f.mustServe(f.client(1, entry), longAnswerTokens)
	f.checkLimits()
}
