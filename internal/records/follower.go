package records

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/clock"
)

// ErrHistoryLost is returned by Reader.Watch when the platform does not hold the changes after
// the requested position.
var ErrHistoryLost = errors.New("the platform does not hold the changes after this position")

// ErrUnavailable is wrapped by the errors of a Reader to which the platform has answered that it
// does not serve the call.
var ErrUnavailable = errors.New("the platform does not serve the call")

// errOlderAnswer is the cause of a failed call whose answer is older than the copy, which
// keeps its content.
var errOlderAnswer = errors.New("answer older than the copy")

// Reader reads the platform's records. Its reads are linearizable.
type Reader interface {
	// Read returns all records and the position up to which they are complete.
	Read(ctx context.Context) ([]Change, Position, error)
	// Watch waits at most wait for changes after a position. It returns the changes and the
	// position up to which they are complete, or ErrHistoryLost if all records must be read
	// again. The changes count only if the position is of the era that was asked for.
	Watch(ctx context.Context, from Position, wait time.Duration) ([]Change, Position, error)
}

// Wait times and polling intervals of a Follower.
const (
	// watchWait is how long one watch waits for changes. Each return confirms that the
	// copy is current, and a revoked key must stop working within seconds.
	watchWait = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The platform
	// charges for every call, including those that it refuses.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// recoveryWatchWait replaces watchWait after a failed call, since a long call that hangs
	// during an outage would delay the detection of its end, and for an instance in RoleFallback,
	// whose copy is too old to wait for changes.
	recoveryWatchWait = time.Millisecond
	// changePause is the delay after a watch that returned changes. Targets change one by
	// one, and without the delay each change would cost a call.
	changePause = 250 * time.Millisecond
	// fallbackRetryDelay is the delay after a failed call of an instance in RoleFallback.
	// During an outage only the few readers poll the platform frequently.
	fallbackRetryDelay = time.Second
	// standbyPollInterval is how often an instance in RoleStandby checks its role again.
	standbyPollInterval = 100 * time.Millisecond
)

// Follower keeps a Copy up to date from a Reader.
type Follower struct {
	Copy   *Copy
	Reader Reader
	Now    clock.Source
	Log    zerolog.Logger
	// Role returns the current role of this instance in reading the platform.
	Role func() Role
	// OnResult is called after each attempt to update the copy, with the time at which the
	// attempt began and its error or nil.
	OnResult func(began clock.Instant, err error)

	// failures is the number of failed calls in a row.
	failures int
}

// Role is the role of an instance in reading the platform.
type Role int

const (
	// RoleStandby makes no calls; the instance takes the copy from peers that read.
	RoleStandby Role = iota
	// RoleFallback reads as well, because peers have not confirmed the copy recently.
	RoleFallback
	// RoleReader reads on behalf of its peers.
	RoleReader
)

// Run keeps the copy up to date until ctx ends. It calls Role before each attempt.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		role := f.Role()
		if role == RoleStandby {
			sleep(ctx, standbyPollInterval)
			continue
		}
		previous, _ := f.Copy.State()
		started := f.Now()
		err := f.poll(ctx, role)
		if ctx.Err() != nil {
			return
		}
		f.OnResult(started, err)
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
			// Avoid a busy loop when the platform answers at once without changes.
			sleep(ctx, minRetryDelay)
		}
	}
}

// poll watches for changes after the position of the copy. It reads all records instead if
// the copy is empty or the platform does not hold these changes.
func (f *Follower) poll(ctx context.Context, role Role) error {
	sentAt := f.Now()
	had, _ := f.Copy.State()
	if !had.IsZero() {
		wait := watchWait
		if f.failures > 0 || role == RoleFallback {
			wait = recoveryWatchWait
		}
		changes, to, err := f.Reader.Watch(ctx, had, wait)
		if err == nil {
			err = checkWatch(had, to)
		}
		if err == nil {
			f.Copy.Apply(had, changes, to, sentAt)
		}
		if !errors.Is(err, ErrHistoryLost) {
			return err
		}
		if at, _ := f.Copy.State(); at != had {
			// A peer has read the records in the meantime.
			return nil
		}
		sentAt = f.Now()
	}
	all, at, err := f.Reader.Read(ctx)
	if err != nil {
		return err
	}
	if had.After(at) {
		return errors.Wrapf(errOlderAnswer, "read returned %v, want %v or later", at, had)
	}
	f.Copy.Replace(all, at, sentAt)
	return nil
}

// checkWatch returns an error if the answer to a watch does not lead on from the position asked
// for: ErrHistoryLost if the platform is in a later era, in which that position does not exist.
func checkWatch(from, to Position) error {
	switch {
	case to.SharesHistory(from) && !from.After(to):
		return nil
	case to.After(from):
		return ErrHistoryLost
	}
	return errors.Wrapf(errOlderAnswer, "watch returned %v, want %v or later", to, from)
}

// logOutcome logs the first failure in a row and the recovery, and counts the failures.
func (f *Follower) logOutcome(err error) {
	if errors.Is(err, errOlderAnswer) {
		f.Log.Warn().Str("event", "records_dropped").Err(err).Msg("")
	}
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

// retryDelay returns the delay after a failed call. It doubles with each failure in a row, up
// to maxRetryDelay.
func (f *Follower) retryDelay() time.Duration {
	return min(minRetryDelay<<min(f.failures, 8), maxRetryDelay)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
