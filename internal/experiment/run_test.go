package experiment

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/report"
)

// run executes a scenario in virtual time and returns its result.
func run(t *testing.T, s scenario) (result report.Result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w, err := newTestEnv(ctx, t, s)
		if err != nil {
			t.Fatal(err)
		}
		c := w.execute(ctx)
		result = w.computeResult(c)
		cancel()
		for _, made := range w.clients {
			made.Close()
		}
		w.fleet.Close()
		time.Sleep(dialGracePeriod)
	})
	return result
}
