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

// longAnswerTokens is the length of an answer that takes an engine stand-in one second.
const longAnswerTokens = 200

// firstInstance returns the instance to which a client sends its requests first.
func (f *processFleet) firstInstance(c *client.Client) *member {
	f.t.Helper()
	addresses, err := c.Locate(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return f.memberAt(addresses[0])
}

// saturate sends more requests through an instance than both engines can run, and
// returns when some of them run and others wait there.
func (f *processFleet) saturate(c *client.Client, entry *member) *load {
	f.t.Helper()
	l := f.startLoad(c, 6*engineLimit, longAnswerTokens)
	eventually(f.t, "requests run and wait at "+string(entry.id), func() bool {
		s, _ := entry.status()
		return s.Running > 0 && s.Waiting > 0
	})
	return l
}

// A graceful stop must not abort or refuse requests, nor run any of them twice, and no new
// caller may be sent to the stopping instance.
func TestGracefulStopCompletesRequests(t *testing.T) {
	f := startFleet(t)
	c := f.client(0, f.members...)
	entry := f.firstInstance(c)
	cachedClient := f.client(0, entry)
	if f.firstInstance(cachedClient) != entry {
		t.Fatal("two clients of the same customer are sent to different instances")
	}
	l := f.saturate(c, entry)
	entry.signal(syscall.SIGTERM)
	eventually(t, "the instance is stopping", func() bool {
		s, _ := entry.status()
		return s.Draining
	})
	before := f.runs()
	// The addresses cached by cachedClient still include the stopping instance, which keeps
	// serving until they expire.
	lateLoad := f.startLoad(cachedClient, engineLimit, 4)
	for _, m := range f.others(entry) {
		if got := f.firstInstance(f.client(0, m)); got == entry {
			t.Errorf("%s sends callers to the stopping instance", m.id)
		}
	}
	for _, err := range append(l.wait(), lateLoad.wait()...) {
		t.Errorf("request aborted or refused: %v", err)
	}
	if code := entry.exitCode(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	runs := f.runs()
	for _, prompt := range append(l.prompts, lateLoad.prompts...) {
		if runs[prompt] != 1 {
			t.Errorf("%s ran %d times, %d of them before the stop, want 1", prompt, runs[prompt], before[prompt])
		}
	}
	f.mustServe(c, 4)
	f.mustServe(cachedClient, 4)
	f.checkLimits()
}

// When the entry instance or the owner of a target is killed, the remaining instances must
// serve all customers. Only requests that entered at the killed instance may fail, and
// then with an unknown outcome.
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
					t.Errorf("request failed, but not because its entry instance was killed: %v", err)
				}
			}
			f.mustServe(c, 4)
			eventually(t, "the killed instance does not own the target", func() bool {
				owner := f.ownerOf("north-e1", f.others(victim)[0])
				return owner != nil && owner != victim
			})
			f.mustServe(f.client(1, f.others(victim)...), longAnswerTokens)
			f.checkLimits()
		})
	}
}

// outcomeUnknown reports whether err says that the outcome of the request is unknown.
func outcomeUnknown(err error) bool {
	var failed *client.RequestError
	return errors.As(err, &failed) && failed.Kind == client.Unknown
}

// leaseExpiryPause returns a duration after which every lease of a paused instance has
// expired.
func leaseExpiryPause() time.Duration {
	p := limit.DefaultParams()
	return 2 * (p.HoldDown + p.UnreachableAfter + p.ReportLag)
}

// An instance that resumes after its leases have expired must neither exceed the limits of
// the engines nor run a non-repeatable call a second time.
func TestPausedInstanceKeepsLimitsAndCallIDs(t *testing.T) {
	f := startFleet(t)
	c := f.client(0, f.members...)
	paused := f.firstInstance(c)
	id, err := c.IssueCallID(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if f.memberAt(id.Address) != paused {
		t.Fatalf("the call ID belongs to %s, want the instance to be paused", id.Address)
	}
	call := make(chan error, 1)
	go func() { call <- callOnce(c, id) }()
	eventually(t, "the call runs", func() bool { return f.callRuns(id.ID) > 0 })
	l := f.saturate(c, paused)
	paused.signal(syscall.SIGSTOP)
	stopped := time.Now()
	// An instance ranks itself first, so this load never goes to the paused one.
	others := f.client(1, f.members[2])
	// The load keeps both engines as full as allowed until all leases have expired.
	for time.Since(stopped) < leaseExpiryPause() {
		for _, err := range f.startLoad(others, 3*engineLimit, 40).wait() {
			var failed *client.RequestError
			if !errors.As(err, &failed) || failed.Kind != client.NotRun {
				t.Errorf("while the instance is paused: %v", err)
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
		t.Errorf("call: %v", err)
	}
	_ = callOnce(c, id)
	if runs := f.callRuns(id.ID); runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
	f.awaitReady(paused)
	f.mustServe(f.client(0, paused), 4)
	f.checkLimits()
}

// Once its peers have noticed that an instance no longer responds, they must not send
// callers to it.
func TestCallersAreNotSentToSilentInstance(t *testing.T) {
	f := startFleet(t)
	paused := f.firstInstance(f.client(0, f.members[0]))
	asked := f.others(paused)[0]
	paused.signal(syscall.SIGSTOP)
	eventually(t, "the peers have taken over the target of the paused instance", func() bool {
		return f.ownerOf("north-e1", asked) == asked
	})
	if first := f.firstInstance(f.client(0, asked)); first == paused {
		t.Errorf("%s sends callers to %s, which does not respond", asked.id, paused.id)
	}
}

// callOnce sends the non-repeatable call with the given ID.
func callOnce(c *client.Client, id client.CallID) error {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	body, err := c.CallOnce(ctx, id, string(localfleet.ServiceName), "settle", []byte("lot 7"))
	if err == nil && string(body) != "lot 7" {
		return errors.Errorf("unexpected answer %q", body)
	}
	return err
}

// An instance that is killed and restarted without its state must get a new incarnation,
// must not run a call of its previous run again, and must serve within the limits.
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
		t.Error("the incarnation has not changed after the restart")
	}
	if err := callOnce(c, id); !outcomeUnknown(err) {
		t.Errorf("call ID of the previous run: %v", err)
	}
	if runs := f.callRuns(id.ID); runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
	f.mustServe(f.client(1, entry), longAnswerTokens)
	f.checkLimits()
}
