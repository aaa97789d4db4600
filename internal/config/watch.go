package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// SourceService names the configuration service in logs and snapshots.
const SourceService = "service"

// jitterFraction is the fraction by which waits are randomly lengthened or
// shortened.
const jitterFraction = 0.1

// watch reads the configuration service until ctx is done: with long polls while
// this instance is a reader, and rarely, with a short timeout, otherwise.
func (w *Watcher) watch(ctx context.Context) {
	backoff := w.options.BackoffMin
	for {
		wait, running := w.waitForRead(ctx)
		if !running {
			return
		}
		started := time.Now()
		err := w.read(ctx, wait)
		pause := addJitter(w.watchRand, w.options.MinReadInterval, jitterFraction) - time.Since(started)
		if err != nil {
			pause = addJitter(w.watchRand, backoff, 0.5)
			backoff = min(2*backoff, w.options.BackoffMax)
		} else {
			backoff = w.options.BackoffMin
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// waitForRead blocks until this instance may read the configuration service. It
// returns the timeout of the read, and false if ctx is done.
func (w *Watcher) waitForRead(ctx context.Context) (wait time.Duration, running bool) {
	timer := time.NewTimer(addJitter(w.watchRand, w.options.FallbackInterval, 0.5))
	defer timer.Stop()
	for !w.reader.Load() {
		select {
		case <-ctx.Done():
			return 0, false
		case <-timer.C:
			return w.options.FallbackTimeout, true
		case <-w.roleChanged:
		}
	}
	return addJitter(w.watchRand, w.options.WatchTimeout, jitterFraction), ctx.Err() == nil
}

// read calls the configuration service once and offers a new version to the store.
// It returns nil if there is no new version within the wait.
func (w *Watcher) read(ctx context.Context, wait time.Duration) error {
	readCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	after := max(w.store.Version(), w.highestInvalid)
	w.counters.reads.Add(1)
	version, value, err := w.source.Config(readCtx, after)
	if err != nil {
		if errors.Is(readCtx.Err(), context.DeadlineExceeded) {
			return nil
		}
		w.counters.readErrors.Add(1)
		w.log.Warn().Err(err).Msg("configuration service not read")
		return err
	}
	if version <= after {
		return nil
	}
	outcome, err := w.store.OfferValue(version, value, SourceService)
	w.recordOutcome(version, SourceService, outcome, err)
	if outcome == Invalid {
		w.highestInvalid = version
	}
	w.wake()
	return nil
}

// wake makes the coordinator run a step. It does not block.
func (w *Watcher) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// setReader sets whether this instance is a reader. A read that is in progress is
// not interrupted.
func (w *Watcher) setReader(reader bool) {
	if w.reader.Swap(reader) == reader || !reader {
		return
	}
	select {
	case w.roleChanged <- struct{}{}:
	default:
	}
}

// addJitter returns a random duration within d*(1-fraction) and d*(1+fraction).
func addJitter(random *rand.Rand, d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * (1 - fraction + 2*fraction*random.Float64()))
}

// sleep waits for d or until ctx is done. It returns false if ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
