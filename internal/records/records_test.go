package records_test

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/records"
)

// pos is a position on a platform without eras.
func pos(revision uint64) records.Position { return records.NewPosition(0, revision) }

const start = clock.Instant(time.Hour)

func TestCopyIgnoresOlderRevisions(t *testing.T) {
	c := records.NewCopy()
	c.Replace([]records.Change{{Key: "k", Value: []byte("new"), Revision: 7}}, pos(7), start)
	c.Replace([]records.Change{{Key: "k", Value: []byte("old"), Revision: 5}}, pos(5), start.Add(time.Second))
	c.Apply(pos(4), []records.Change{{Key: "k", Value: []byte("old"), Revision: 5}}, pos(5), start.Add(time.Second))
	if _, all := c.All(); string(all[0].Value) != "new" {
		t.Errorf("an older revision replaced a newer one: %q", all[0].Value)
	}
	if _, at := c.State(); at != start {
		t.Error("an older revision confirmed the copy")
	}
}

func TestConfirmAppliesToCurrentRevisionOnly(t *testing.T) {
	c := records.NewCopy()
	c.Replace(nil, pos(7), start)
	c.Confirm(pos(6), start.Add(time.Minute))
	if _, at := c.State(); at != start {
		t.Error("confirming an older revision confirmed the current one")
	}
	c.Confirm(pos(7), start.Add(time.Minute))
	c.Confirm(pos(7), start.Add(time.Second))
	if _, at := c.State(); at != start.Add(time.Minute) {
		t.Error("confirmedAt is not the latest confirmation")
	}
}

func TestApplyDeletes(t *testing.T) {
	c := records.NewCopy()
	c.Replace([]records.Change{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, pos(2), start)
	c.Apply(pos(2), []records.Change{{Key: "a", Revision: 3, Deleted: true}}, pos(3), start)
	if _, all := c.All(); len(all) != 1 || all[0].Key != "b" {
		t.Errorf("All = %v", all)
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	c := records.NewCopy()
	want := []records.Change{{Key: "a", Value: []byte{0, 1, 255}, Revision: 3}, {Key: "b", Value: []byte("x"), Revision: 9}}
	c.Replace(want, pos(9), start)
	at, text, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := records.Decode(text)
	if err != nil || at != pos(9) || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, %v, %v", at, got, err)
	}
	if _, err := records.Decode([]byte("nonsense")); err == nil {
		t.Error("Decode accepted invalid data")
	}
}

// TestChangesSinceRevision checks that a peer that lags by a few changes can be sent only
// these, and that Since refuses revisions whose changes are no longer held.
func TestChangesSinceRevision(t *testing.T) {
	source, copied := records.NewCopy(), records.NewCopy()
	source.Replace([]records.Change{{Key: "a", Value: []byte("1"), Revision: 3}}, pos(5), start)
	_, all := source.All()
	copied.Replace(all, pos(5), start)
	source.Apply(pos(5), []records.Change{{Key: "b", Value: []byte("2"), Revision: 6}, {Key: "a", Revision: 8, Deleted: true}}, pos(9), start)
	changes, to, ok := source.Since(pos(5))
	if !ok || to != pos(9) || len(changes) != 2 {
		t.Fatalf("Since(5) = %v, %v, %v", changes, to, ok)
	}
	text, err := records.EncodeChanges(changes)
	if err != nil {
		t.Fatal(err)
	}
	if changes, err = records.DecodeChanges(text); err != nil {
		t.Fatal(err)
	}
	copied.Apply(pos(5), changes, to, start)
	_, got := copied.All()
	if _, want := source.All(); !reflect.DeepEqual(got, want) {
		t.Errorf("copy %v, source %v", got, want)
	}
	if changes, _, ok := source.Since(pos(6)); !ok || len(changes) != 1 || changes[0].Revision != 8 {
		t.Errorf("Since(6) = %v, %v", changes, ok)
	}
	for _, unknown := range []uint64{0, 4, 10} {
		if _, _, ok := source.Since(pos(unknown)); ok {
			t.Errorf("Since(%d) succeeded for an unknown revision", unknown)
		}
	}
	revision := uint64(9)
	for range 1000 {
		revision++
		source.Apply(pos(revision-1), []records.Change{{Key: "c", Revision: revision}}, pos(revision), start)
	}
	if _, _, ok := source.Since(pos(9)); ok {
		t.Error("Since succeeded for a revision 1000 changes ago")
	}
	if changes, _, ok := source.Since(pos(revision - 100)); !ok || len(changes) != 100 {
		t.Errorf("Since returned %d of the last 100 changes, ok = %v", len(changes), ok)
	}
}

// fakeReader is a platform whose answers are set by the test.
type fakeReader struct {
	mu       sync.Mutex
	revision uint64
	value    string
	err      error
	reads    int
}

func (f *fakeReader) all() []records.Change {
	return []records.Change{{Key: "k", Value: []byte(f.value), Revision: f.revision}}
}

func (f *fakeReader) set(revision uint64, value string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.value, f.err = revision, value, err
}

func (f *fakeReader) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeReader) Read(context.Context) ([]records.Change, records.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.err != nil {
		return nil, records.Position{}, f.err
	}
	return f.all(), pos(f.revision), nil
}

func (f *fakeReader) Watch(ctx context.Context, from records.Position, wait time.Duration) ([]records.Change, records.Position, error) {
	changes, to, err := f.changesAfter(from)
	if err != nil || to.After(from) {
		return changes, to, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, from, nil
}

func (f *fakeReader) changesAfter(from records.Position) ([]records.Change, records.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil || !pos(f.revision).After(from) {
		return nil, from, f.err
	}
	return f.all(), pos(f.revision), nil
}

// follow runs a Follower in virtual time and calls check while it runs.
func follow(t *testing.T, f *fakeReader, role func() records.Role, check func(c *records.Copy, now clock.Source)) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.Monotonic()
		c := records.NewCopy()
		follower := &records.Follower{
			Copy: c, Reader: f, Now: now, Log: zerolog.Nop(), Role: role, OnResult: func(clock.Instant, error) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			follower.Run(ctx)
			close(done)
		}()
		check(c, now)
		cancel()
		<-done
	})
}

func alwaysReader() records.Role { return records.RoleReader }

func TestFollowerRereadsAfterLostHistory(t *testing.T) {
	f := &fakeReader{revision: 3, value: "a"}
	follow(t, f, alwaysReader, func(c *records.Copy, _ clock.Source) {
		time.Sleep(time.Second)
		f.set(9, "b", records.ErrHistoryLost)
		time.Sleep(1500 * time.Millisecond)
		f.set(9, "b", nil)
		time.Sleep(2 * time.Second)
		if at, _ := c.State(); at != pos(9) || f.readCount() < 2 {
			t.Errorf("%v after %d reads, want revision 9 after reading again", at, f.readCount())
		}
	})
}

// TestConfirmationAgesDuringOutage checks that a quiet platform keeps the copy confirmed and
// that the confirmation ages while calls fail; otherwise stale records would count as current.
func TestConfirmationAgesDuringOutage(t *testing.T) {
	f := &fakeReader{revision: 3, value: "a"}
	follow(t, f, alwaysReader, func(c *records.Copy, now clock.Source) {
		time.Sleep(3 * time.Second)
		if _, at := c.State(); now().Sub(at) > 2*time.Second {
			t.Errorf("without changes the copy was last confirmed %v ago", now().Sub(at))
		}
		f.set(3, "a", errors.New("down"))
		time.Sleep(5 * time.Second)
		if _, at := c.State(); now().Sub(at) < 4*time.Second {
			t.Errorf("after a 5 s outage the copy counts as confirmed %v ago", now().Sub(at))
		}
	})
}

func TestStandbyMakesNoCalls(t *testing.T) {
	f := &fakeReader{revision: 3, value: "a"}
	follow(t, f, func() records.Role { return records.RoleStandby }, func(*records.Copy, clock.Source) {
		time.Sleep(10 * time.Second)
		if n := f.readCount(); n > 0 {
			t.Errorf("%d reads by an instance in RoleStandby", n)
		}
	})
}

// TestFallbackPollsRarelyDuringOutage guards against a whole fleet polling a platform that
// is down: only instances in RoleReader may poll it frequently.
func TestFallbackPollsRarelyDuringOutage(t *testing.T) {
	f := &fakeReader{err: errors.New("down")}
	follow(t, f, func() records.Role { return records.RoleFallback }, func(*records.Copy, clock.Source) {
		time.Sleep(10 * time.Second)
		if n := f.readCount(); n > 11 || n < 5 {
			t.Errorf("%d calls in 10 s by an instance in RoleFallback", n)
		}
	})
}

// immediateReader answers every call at once, without changes.
type immediateReader struct{ calls int }

func (e *immediateReader) Read(context.Context) ([]records.Change, records.Position, error) {
	e.calls++
	return nil, records.Position{}, nil
}

func (e *immediateReader) Watch(context.Context, records.Position, time.Duration) ([]records.Change, records.Position, error) {
	e.calls++
	return nil, records.Position{}, nil
}

// changingReader returns a change from every watch.
type changingReader struct{ immediateReader }

func (c *changingReader) Read(context.Context) ([]records.Change, records.Position, error) {
	return nil, pos(1), nil
}

func (c *changingReader) Watch(_ context.Context, from records.Position, _ time.Duration) ([]records.Change, records.Position, error) {
	c.calls++
	next := from.Revision() + 1
	return []records.Change{{Key: "k", Revision: next}}, pos(next), nil
}

// TestFollowerBatchesChanges guards against one call for each change: targets change one by
// one, and the platform charges for every call.
func TestFollowerBatchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &changingReader{}
		follower := &records.Follower{
			Copy: records.NewCopy(), Reader: r, Now: clock.Monotonic(), Log: zerolog.Nop(), Role: alwaysReader, OnResult: func(clock.Instant, error) {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		if r.calls > 41 {
			t.Errorf("%d calls in 10 s to a platform that changes continuously", r.calls)
		}
	})
}

// TestFollowerDoesNotBusyLoop guards against calls in a tight loop when the platform answers
// at once without changes.
func TestFollowerDoesNotBusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &immediateReader{}
		follower := &records.Follower{
			Copy: records.NewCopy(), Reader: e, Now: clock.Monotonic(), Log: zerolog.Nop(), Role: alwaysReader, OnResult: func(clock.Instant, error) {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		if e.calls > 101 {
			t.Errorf("%d calls in 10 s to a platform without records", e.calls)
		}
	})
}

// hangingReader is a platform that, while silent is set, does not answer a watch until the
// call times out.
type hangingReader struct {
	fakeReader
	silent atomic.Bool
}

func (h *hangingReader) Watch(ctx context.Context, from records.Position, wait time.Duration) ([]records.Change, records.Position, error) {
	if !h.silent.Load() {
		return h.fakeReader.Watch(ctx, from, wait)
	}
	const reply = 700 * time.Millisecond
	select {
	case <-time.After(wait + reply):
	case <-ctx.Done():
	}
	return nil, records.Position{}, errors.New("no answer")
}

// TestFollowerDetectsEndOfSilentOutage checks that the copy is confirmed again soon after an
// outage in which calls hang: a long hanging watch would delay the detection of its end.
func TestFollowerDetectsEndOfSilentOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hangingReader{fakeReader: fakeReader{revision: 3, value: "a"}}
		now := clock.Monotonic()
		c := records.NewCopy()
		follower := &records.Follower{
			Copy: c, Reader: h, Now: now, Log: zerolog.Nop(), Role: alwaysReader, OnResult: func(clock.Instant, error) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			follower.Run(ctx)
			close(done)
		}()
		time.Sleep(5 * time.Second)
		h.silent.Store(true)
		time.Sleep(6 * time.Second)
		h.silent.Store(false)
		returned := now()
		time.Sleep(1100 * time.Millisecond)
		if _, at := c.State(); at < returned.Add(-time.Second) {
			t.Errorf("1.1 s after the end of the outage, the last confirmation of the copy is %v older than that end", returned.Sub(at))
		}
		cancel()
		<-done
	})
}

// revertedReader is a platform that goes back to an earlier revision after the first read.
type revertedReader struct{ reads int }

func (r *revertedReader) Read(context.Context) ([]records.Change, records.Position, error) {
	r.reads++
	if r.reads == 1 {
		return nil, pos(9), nil
	}
	return nil, pos(3), nil
}

func (r *revertedReader) Watch(context.Context, records.Position, time.Duration) ([]records.Change, records.Position, error) {
	return nil, records.Position{}, records.ErrHistoryLost
}

// An instance whose reads are dropped does not follow the platform, and must not count the
// calls as successful.
func TestDroppedReadIsReportedAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var results []error
		follower := &records.Follower{
			Copy: records.NewCopy(), Reader: &revertedReader{}, Now: clock.Monotonic(), Log: zerolog.Nop(),
			Role: alwaysReader, OnResult: func(_ clock.Instant, err error) { results = append(results, err) },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		follower.Run(ctx)
		for i, err := range results[1:] {
			if err == nil {
				t.Fatalf("call %d succeeded although its answer was dropped", i+2)
			}
		}
	})
}
