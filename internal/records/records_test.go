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

const start = clock.Instant(time.Hour)

func TestCopyIgnoresOlderRevisions(t *testing.T) {
	c := records.NewCopy()
	c.Replace([]records.Change{{Key: "k", Value: []byte("new"), Revision: 7}}, 7, start)
	c.Replace([]records.Change{{Key: "k", Value: []byte("old"), Revision: 5}}, 5, start.Add(time.Second))
	c.Apply(4, []records.Change{{Key: "k", Value: []byte("old"), Revision: 5}}, 5, start.Add(time.Second))
	if all := c.All(); string(all[0].Value) != "new" {
		t.Errorf("an older revision replaced a newer one: %q", all[0].Value)
	}
	if _, at := c.State(); at != start {
		t.Error("an older revision confirmed the copy")
	}
}

func TestConfirmAppliesToCurrentRevisionOnly(t *testing.T) {
	c := records.NewCopy()
	c.Replace(nil, 7, start)
	c.Confirm(6, start.Add(time.Minute))
	if _, at := c.State(); at != start {
		t.Error("confirming an older revision confirmed the current one")
	}
	c.Confirm(7, start.Add(time.Minute))
	c.Confirm(7, start.Add(time.Second))
	if _, at := c.State(); at != start.Add(time.Minute) {
		t.Error("confirmedAt is not the latest confirmation")
	}
}

func TestApplyDeletes(t *testing.T) {
	c := records.NewCopy()
	c.Replace([]records.Change{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 2, start)
	c.Apply(2, []records.Change{{Key: "a", Revision: 3, Deleted: true}}, 3, start)
	if all := c.All(); len(all) != 1 || all[0].Key != "b" {
		t.Errorf("All = %v", all)
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	c := records.NewCopy()
	want := []records.Change{{Key: "a", Value: []byte{0, 1, 255}, Revision: 3}, {Key: "b", Value: []byte("x"), Revision: 9}}
	c.Replace(want, 9, start)
	revision, text, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := records.Decode(text)
	if err != nil || revision != 9 || !reflect.DeepEqual(got, want) {
		t.Errorf("revision %d, %v, %v", revision, got, err)
	}
	if _, err := records.Decode([]byte("nonsense")); err == nil {
		t.Error("Decode accepted invalid data")
	}
}

// TestChangesSinceRevision checks that a peer that lags by a few changes can be sent only
// these, and that Since refuses revisions whose changes are no longer held.
func TestChangesSinceRevision(t *testing.T) {
	source, copied := records.NewCopy(), records.NewCopy()
	source.Replace([]records.Change{{Key: "a", Value: []byte("1"), Revision: 3}}, 5, start)
	copied.Replace(source.All(), 5, start)
	source.Apply(5, []records.Change{{Key: "b", Value: []byte("2"), Revision: 6}, {Key: "a", Revision: 8, Deleted: true}}, 9, start)
	changes, revision, ok := source.Since(5)
	if !ok || revision != 9 || len(changes) != 2 {
		t.Fatalf("Since(5) = %v, %d, %v", changes, revision, ok)
	}
	text, err := records.EncodeChanges(changes)
	if err != nil {
		t.Fatal(err)
	}
	if changes, err = records.DecodeChanges(text); err != nil {
		t.Fatal(err)
	}
	copied.Apply(5, changes, revision, start)
	if !reflect.DeepEqual(copied.All(), source.All()) {
		t.Errorf("copy %v, source %v", copied.All(), source.All())
	}
	if changes, _, ok := source.Since(6); !ok || len(changes) != 1 || changes[0].Revision != 8 {
		t.Errorf("Since(6) = %v, %v", changes, ok)
	}
	for _, unknown := range []uint64{0, 4, 10} {
		if _, _, ok := source.Since(unknown); ok {
			t.Errorf("Since(%d) succeeded for an unknown revision", unknown)
		}
	}
	revision = 9
	for range 1000 {
		revision++
		source.Apply(revision-1, []records.Change{{Key: "c", Revision: revision}}, revision, start)
	}
	if _, _, ok := source.Since(9); ok {
		t.Error("Since succeeded for a revision 1000 changes ago")
	}
	if changes, _, ok := source.Since(revision - 100); !ok || len(changes) != 100 {
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

func (f *fakeReader) Read(context.Context) ([]records.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.err != nil {
		return nil, 0, f.err
	}
	return f.all(), f.revision, nil
}

func (f *fakeReader) Watch(ctx context.Context, after uint64, wait time.Duration) ([]records.Change, uint64, error) {
	changes, revision, err := f.changesAfter(after)
	if err != nil || revision > after {
		return changes, revision, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, nil
}

func (f *fakeReader) changesAfter(after uint64) ([]records.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil || f.revision <= after {
		return nil, after, f.err
	}
	return f.all(), f.revision, nil
}

// follow runs a Follower in virtual time and calls check while it runs.
func follow(t *testing.T, f *fakeReader, role func() records.Role, check func(c *records.Copy, now clock.Source)) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.Monotonic()
		c := records.NewCopy()
		follower := &records.Follower{
			Copy: c, Reader: f, Now: now, Log: zerolog.Nop(), Role: role, OnResult: func(error) {},
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
		if revision, _ := c.State(); revision != 9 || f.readCount() < 2 {
			t.Errorf("revision %d after %d reads, want 9 after reading again", revision, f.readCount())
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

func (e *immediateReader) Read(context.Context) ([]records.Change, uint64, error) {
	e.calls++
	return nil, 0, nil
}

func (e *immediateReader) Watch(context.Context, uint64, time.Duration) ([]records.Change, uint64, error) {
	e.calls++
	return nil, 0, nil
}

// changingReader returns a change from every watch.
type changingReader struct{ immediateReader }

func (c *changingReader) Read(context.Context) ([]records.Change, uint64, error) {
	return nil, 1, nil
}

func (c *changingReader) Watch(_ context.Context, after uint64, _ time.Duration) ([]records.Change, uint64, error) {
	c.calls++
	return []records.Change{{Key: "k", Revision: after + 1}}, after + 1, nil
}

// TestFollowerBatchesChanges guards against one call for each change: targets change one by
// one, and the platform charges for every call.
func TestFollowerBatchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &changingReader{}
		follower := &records.Follower{
			Copy: records.NewCopy(), Reader: r, Now: clock.Monotonic(), Log: zerolog.Nop(), Role: alwaysReader, OnResult: func(error) {},
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
			Copy: records.NewCopy(), Reader: e, Now: clock.Monotonic(), Log: zerolog.Nop(), Role: alwaysReader, OnResult: func(error) {},
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

func (h *hangingReader) Watch(ctx context.Context, after uint64, wait time.Duration) ([]records.Change, uint64, error) {
	if !h.silent.Load() {
		return h.fakeReader.Watch(ctx, after, wait)
	}
	const reply = 700 * time.Millisecond
	select {
	case <-time.After(wait + reply):
	case <-ctx.Done():
	}
	return nil, 0, errors.New("no answer")
}

// TestFollowerDetectsEndOfSilentOutage checks that the copy is confirmed again soon after an
// outage in which calls hang: a long hanging watch would delay the detection of its end.
func TestFollowerDetectsEndOfSilentOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hangingReader{fakeReader: fakeReader{revision: 3, value: "a"}}
		now := clock.Monotonic()
		c := records.NewCopy()
		follower := &records.Follower{
			Copy: c, Reader: h, Now: now, Log: zerolog.Nop(), Role: alwaysReader, OnResult: func(error) {},
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

func (r *revertedReader) Read(context.Context) ([]records.Change, uint64, error) {
	r.reads++
	if r.reads == 1 {
		return nil, 9, nil
	}
	return nil, 3, nil
}

func (r *revertedReader) Watch(context.Context, uint64, time.Duration) ([]records.Change, uint64, error) {
	return nil, 0, records.ErrHistoryLost
}

// An instance whose reads are dropped does not follow the platform, and must not count the
// calls as successful.
func TestDroppedReadIsReportedAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var results []error
		follower := &records.Follower{
			Copy: records.NewCopy(), Reader: &revertedReader{}, Now: clock.Monotonic(), Log: zerolog.Nop(),
			Role: alwaysReader, OnResult: func(err error) { results = append(results, err) },
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
