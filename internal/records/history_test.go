package records_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/records"
)

// restoredStore is a platform that returns from older copies and gives revisions out again. It
// remembers the content at every position, and when each position was the newest.
type restoredStore struct {
	now clock.Source

	mu       sync.Mutex
	at       records.Position
	items    map[string]records.Change
	log      []records.Change
	contents map[records.Position]map[string]records.Change
	since    []positionSince
	changed  chan struct{}
	down     bool
}

// positionSince is a position that was the newest from an instant on.
type positionSince struct {
	at      records.Position
	instant clock.Instant
}

func newRestoredStore(now clock.Source) *restoredStore {
	s := &restoredStore{now: now, items: map[string]records.Change{}, contents: map[records.Position]map[string]records.Change{}, changed: make(chan struct{})}
	s.moveTo(records.NewPosition(1, 1))
	return s
}

// moveTo makes a position the newest. s.mu must be held.
func (s *restoredStore) moveTo(at records.Position) {
	s.at = at
	s.contents[at] = maps.Clone(s.items)
	s.since = append(s.since, positionSince{at, s.now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *restoredStore) write(r *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := records.NewPosition(s.at.Era(), s.at.Revision()+1)
	c := records.Change{Key: fmt.Sprint("k", r.IntN(6)), Revision: next.Revision(), Deleted: r.IntN(5) == 0}
	if c.Deleted {
		delete(s.items, c.Key)
	} else {
		c.Value = []byte(next.String())
		s.items[c.Key] = c
	}
	s.log = append(s.log, c)
	s.moveTo(next)
}

// restore takes back the last changes and begins a new era.
func (s *restoredStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = s.log[:max(len(s.log)-lost, 0)]
	s.items = map[string]records.Change{}
	revision := uint64(1)
	for _, c := range s.log {
		revision = c.Revision
		if c.Deleted {
			delete(s.items, c.Key)
		} else {
			s.items[c.Key] = c
		}
	}
	s.moveTo(records.NewPosition(s.at.Era()+1, revision))
}

func (s *restoredStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// newestAt returns the position that was the newest until an instant.
func (s *restoredStore) newestAt(instant clock.Instant) records.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest records.Position
	for _, p := range s.since {
		if p.instant < instant {
			newest = p.at
		}
	}
	return newest
}

func (s *restoredStore) contentAt(at records.Position) map[string]records.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents[at]
}

// answer returns the changes after a revision, from which era ever it is.
func (s *restoredStore) answer(from records.Position) ([]records.Change, records.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, records.Position{}, errors.New("down")
	case from.Revision() > s.at.Revision():
		return nil, records.Position{}, records.ErrHistoryLost
	}
	var changes []records.Change
	for _, c := range s.log {
		if c.Revision > from.Revision() {
			changes = append(changes, c)
		}
	}
	return changes, s.at, nil
}

// modelInstance has a copy, which it updates from the store and from its peers. Answers of the
// store and messages between instances arrive late, at random.
type modelInstance struct {
	store *restoredStore
	copy  *records.Copy

	mu   sync.Mutex
	rand *rand.Rand
	cut  bool
}

func (m *modelInstance) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (m *modelInstance) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// travel waits for the random time that a message takes, mostly a few milliseconds.
func (m *modelInstance) travel() {
	m.mu.Lock()
	d := time.Duration(m.rand.IntN(10)) * time.Millisecond
	if m.rand.IntN(4) == 0 {
		d *= 100
	}
	m.mu.Unlock()
	time.Sleep(d)
}

func (m *modelInstance) Read(context.Context) ([]records.Change, records.Position, error) {
	m.travel()
	defer m.travel()
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	if m.store.down || m.isCut() {
		return nil, records.Position{}, errors.New("down")
	}
	var all []records.Change
	for _, c := range m.store.items {
		all = append(all, c)
	}
	return all, m.store.at, nil
}

func (m *modelInstance) Watch(ctx context.Context, from records.Position, wait time.Duration) ([]records.Change, records.Position, error) {
	m.travel()
	defer m.travel()
	m.store.mu.Lock()
	changed := m.store.changed
	m.store.mu.Unlock()
	if changes, _, err := m.store.answer(from); err == nil && len(changes) == 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if m.isCut() {
		return nil, records.Position{}, errors.New("cut off")
	}
	return m.store.answer(from)
}

// hear takes over what a peer reports, as instances do with heartbeats.
func (m *modelInstance) hear(peer *modelInstance) {
	reported, confirmedAt := peer.copy.State()
	peer.travel()
	if m.isCut() || peer.isCut() {
		return
	}
	m.copy.Confirm(reported, confirmedAt)
	had, _ := m.copy.State()
	if !reported.After(had) {
		return
	}
	m.travel()
	changes, to, ok := peer.copy.Since(had)
	if ok {
		peer.travel()
		m.copy.Apply(had, changes, to, 0)
		return
	}
	at, text, err := peer.copy.Encode()
	peer.travel()
	if all, decodeErr := records.Decode(text); err == nil && decodeErr == nil {
		m.copy.Replace(all, at, 0)
	}
}

// check returns an error if the copy is not what the store had at its position, or counts as
// current at a time at which the store had something newer.
func (m *modelInstance) check() error {
	at, all := m.copy.All()
	if !at.IsZero() {
		got := map[string]records.Change{}
		for _, c := range all {
			got[c.Key] = c
		}
		if want := m.store.contentAt(at); !reflect.DeepEqual(got, want) {
			return errors.Errorf("copy at %v holds %v, the store held %v", at, got, want)
		}
	}
	at, confirmedAt := m.copy.State()
	if newest := m.store.newestAt(confirmedAt); newest.After(at) {
		return errors.Errorf("copy at %v counts as current at an instant at which the store had %v", at, newest)
	}
	return nil
}

// A copy must always be what the store held at the copy's position, also across restores that
// give revisions out again, with answers and peers' reports that arrive late and instances that
// are cut off. It must never count as current while the store has something else.
func TestCopyNeverMixesHistories(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistoryModel(t, seed) })
		})
	}
}

func runHistoryModel(t *testing.T, seed uint64) {
	const (
		readers   = 2
		instances = 5
		faultTime = 12 * time.Second
		// quietTime is the time after which all instances must have followed.
		quietTime = 6 * time.Second
		step      = 20 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(seed, 0))
	now := clock.Monotonic()
	store := newRestoredStore(now)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var all []*modelInstance
	for i := range instances {
		m := &modelInstance{store: store, copy: records.NewCopy(), rand: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		all = append(all, m)
		if i < readers {
			f := &records.Follower{Copy: m.copy, Reader: m, Now: now, Log: zerolog.Nop(), Role: alwaysReader, OnResult: func(clock.Instant, error) {}}
			running.Go(func() { f.Run(ctx) })
		}
	}
	for i := range instances {
		for j := range instances {
			if i != j {
				running.Go(func() {
					for ctx.Err() == nil {
						all[i].hear(all[j])
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
		}
	}
	for elapsed := time.Duration(0); elapsed < faultTime+quietTime; elapsed += step {
		switch {
		case elapsed == faultTime:
			store.setDown(false)
			for _, m := range all {
				m.setCut(false)
			}
		case elapsed > faultTime:
		case r.IntN(8) == 0:
			store.write(r)
		case r.IntN(80) == 0:
			store.restore(r.IntN(8))
		case r.IntN(60) == 0:
			store.setDown(r.IntN(2) == 0)
		case r.IntN(60) == 0:
			all[r.IntN(instances)].setCut(r.IntN(2) == 0)
		}
		time.Sleep(step)
		for i, m := range all {
			if err := m.check(); err != nil {
				t.Fatalf("instance %d after %v: %v", i, elapsed, err)
			}
		}
	}
	for i, m := range all {
		if at, _ := m.copy.State(); at != store.at {
			t.Errorf("instance %d is at %v after %v without faults, the store at %v", i, at, quietTime, store.at)
		}
	}
}

// An answer of an earlier era that arrives late must neither change nor confirm the copy, and
// must not count as a success.
func TestLateAnswerOfEarlierEraIsAnError(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		t.Run(fmt.Sprint("era=", era), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var results []error
				copied := records.NewCopy()
				copied.Replace([]records.Change{{Key: "k", Value: []byte("new"), Revision: 3}}, records.NewPosition(2, 3), start)
				follower := &records.Follower{
					Copy: copied, Reader: lateReader{era}, Now: clock.Monotonic(), Log: zerolog.Nop(),
					Role: alwaysReader, OnResult: func(_ clock.Instant, err error) { results = append(results, err) },
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				follower.Run(ctx)
				for _, err := range results {
					if err == nil {
						t.Fatal("an answer of an earlier era counted as a success")
					}
				}
				if at, confirmedAt := copied.State(); at != records.NewPosition(2, 3) || confirmedAt != start {
					t.Errorf("copy at %v, confirmed at %v; want revision 3 of era 2, confirmed at %v", at, confirmedAt, start)
				}
				if _, all := copied.All(); len(all) != 1 || string(all[0].Value) != "new" {
					t.Errorf("copy holds %v, want the later era's record", all)
				}
			})
		})
	}
}

// lateReader answers every watch with a change of an earlier era, at a higher revision.
type lateReader struct{ era uint64 }

func (l lateReader) Read(context.Context) ([]records.Change, records.Position, error) {
	return []records.Change{{Key: "k", Value: []byte("old"), Revision: 9}}, records.NewPosition(l.era, 9), nil
}

func (l lateReader) Watch(context.Context, records.Position, time.Duration) ([]records.Change, records.Position, error) {
	return l.Read(context.Background())
}

func TestPositionOrder(t *testing.T) {
	ascending := []records.Position{{}, records.NewPosition(0, 9), records.NewPosition(1, 3), records.NewPosition(1, 8), records.NewPosition(2, 1)}
	for i, p := range ascending {
		for j, q := range ascending {
			if got, want := p.After(q), i > j; got != want {
				t.Errorf("%v after %v: %v, want %v", p, q, got, want)
			}
		}
	}
}

// A peer at a position of another era must be sent the whole copy: an earlier release applies
// changes whose revisions fit.
func TestChangesAreNotSentAcrossEras(t *testing.T) {
	c := records.NewCopy()
	c.Replace(nil, records.NewPosition(2, 5), start)
	c.Apply(records.NewPosition(2, 5), []records.Change{{Key: "a", Revision: 6}}, records.NewPosition(2, 6), start)
	for _, era := range []uint64{0, 1, 3} {
		if changes, _, ok := c.Since(records.NewPosition(era, 5)); ok {
			t.Errorf("Since returned %v for a position of era %d, want none", changes, era)
		}
	}
	if changes, _, ok := c.Since(records.NewPosition(2, 5)); !ok || len(changes) != 1 {
		t.Errorf("Since = %v, %v within the era, want one change", changes, ok)
	}
}
