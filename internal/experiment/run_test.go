package experiment

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/report"
)

// run carries out a scenario in virtual time.
func run(t *testing.T, s scenario) (result report.Result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w, err := newWorld(ctx, s)
		if err != nil {
			t.Fatal(err)
		}
		c := w.carryOut(ctx)
		result = w.figures(c)
		cancel()
		for _, made := range w.clients {
			made.Close()
		}
		w.fleet.Close()
		time.Sleep(closing)
	})
	return result
}
