package records

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/clock"
)

// ErrHistoryLost says that a watch cannot go on from its revision.
var ErrHistoryLost = errors.New("the platform no longer has this history")

// Reader reads the platform's records. Its answers are linearizable.
type Reader interface {
	// Read returns all records and a revision that they are complete up to.
	Read(ctx context.Context) ([]Change, uint64, error)
	// Watch waits for changes after a revision, at most wait. It fails with
	// ErrHistoryLost when all must be read again.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Times of a Follower.
const (
	// watchWait is how long one watch waits. Each return proves that the copy is
	// complete, and a key that was taken away must stop working within seconds.
	watchWait = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay are the pauses after failed calls: calls are
	// paid for, also those that the platform refuses.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// recoveryWatchWait is how long a watch waits after a failed call: a call that hangs while
	// the platform is away would hide its return.
	recoveryWatchWait = time.Millisecond
	// changePause follows a watch that brought news: targets change one by one, and each
	// return of a watch is a call that is paid for.
	changePause = 250 * time.Millisecond
	// fallbackRetryDelay is the pause after a failed call of an instance that is not to
	// read while others can: in an outage only a few are to ask for its end.
	fallbackRetryDelay = time.Second
	// standbyPollInterval is how often an instance that leaves the reading to others looks
	// whether its copy is still confirmed.
	standbyPollInterval = 100 * time.Millisecond
)

// Follower keeps a Copy up to date from a Reader.
type Follower struct {
	Copy   *Copy
	Reader Reader
	Now    clock.Source
	Log    zerolog.Logger
	// Role says whether this instance is to read the platform now; others wait for the
	// copies of their peers.
	Role func() Role
	// OnResult is told of each call's outcome.
	OnResult func(error)

	failures int
}

// Role is an instance's part in reading the platform.
type Role int

const (
	// RoleStandby: others read, and this instance hears from them.
	RoleStandby Role = iota
	// RoleFallback: the others' word has grown old, so that this instance reads as well.
	RoleFallback
	// RoleReader: this instance reads for others.
	RoleReader
)

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		role := f.Role()
		if role == RoleStandby {
			sleep(ctx, standbyPollInterval)
			continue
		}
		previous, _ := f.Copy.State()
		started := f.Now()
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		f.OnResult(err)
		f.logOutcome(err)
		current, _ := f.Copy.State()
		switch {
		case err != nil && role == RoleFallback:
			sleep(ctx, fallbackRetryDelay)
		case err != nil:
			sleep(ctx, f.retryDelay())
		case previous != current:
			sleep(ctx, changePause)
		case previous == current && f.Now().Sub(started) < minRetryDelay:
			// A platform that answers at once without news must not be asked in a loop.
			sleep(ctx, minRetryDelay)
		}
	}
}

// poll makes one call.
func (f *Follower) poll(ctx context.Context) error {
	sentAt := f.Now()
	revision, _ := f.Copy.State()
	if revision > 0 {
		wait := watchWait
		if f.failures > 0 {
			wait = recoveryWatchWait
		}
		changes, next, err := f.Reader.Watch(ctx, revision, wait)
		if err == nil {
			f.Copy.Apply(revision, changes, next, sentAt)
		}
		if !errors.Is(err, ErrHistoryLost) {
			return err
		}
		sentAt = f.Now()
	}
	all, revision, err := f.Reader.Read(ctx)
	if err != nil {
		return err
	}
	f.Copy.Replace(all, revision, sentAt)
	return nil
}

func (f *Follower) logOutcome(err error) {
	switch {
	case err == nil && f.failures > 0:
		f.Log.Info().Str("event", "platform_regained").Int("failures", f.failures).Msg("")
		f.failures = 0
	case err != nil:
		f.failures++
		if f.failures == 1 {
			f.Log.Warn().Str("event", "platform_lost").Err(err).Msg("")
		}
	}
}

// retryDelay grows with the failures in a row.
func (f *Follower) retryDelay() time.Duration {
	return min(minRetryDelay<<min(f.failures, 8), maxRetryDelay)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
