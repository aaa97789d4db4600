package standin_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target"
)

const addr = "10.0.0.9:80"

// withEngine calls f with an engine and a connected client in a synctest bubble.
func withEngine(t *testing.T, opts standin.EngineOptions, f func(t *testing.T, e *standin.Engine, c *target.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		e := standin.NewEngine(opts)
		stop := standin.Serve(l, e)
		c := target.NewClient(n.Host("10.0.0.1").Dial, target.Options{})
		f(t, e, c)
		c.Close()
		e.Close()
		stop()
	})
}

// generateAll sends a request for each prompt concurrently and returns their errors.
func generateAll(c *target.Client, prompts ...string) []error {
	results := make([]error, len(prompts))
	done := make(chan struct{})
	for i, prompt := range prompts {
		go func() {
			r := target.GenerateRequest{RequestID: fmt.Sprintf("%s-%d", prompt, i), Prompt: prompt, MaxTokens: 40}
			s, err := c.Generate(context.Background(), addr, r)
			for err == nil {
				_, err = s.Next()
			}
			if err != io.EOF {
				results[i] = err
			}
			done <- struct{}{}
		}()
	}
	for range prompts {
		<-done
	}
	return results
}

// countErrors returns the number of non-nil errors.
func countErrors(errs []error) int {
	n := 0
	for _, err := range errs {
		if err != nil {
			n++
		}
	}
	return n
}

// A cold engine runs requests up to its cold limit, becomes ready after its warm-up
// requests, and then fills its batch and queues the rest.
func TestEngineWarmsAndBatches(t *testing.T) {
	withEngine(t, standin.EngineOptions{BatchLimit: 4, ColdLimit: 2, WarmupRequests: 2}, func(t *testing.T, e *standin.Engine, c *target.Client) {
		if failed := countErrors(generateAll(c, "a", "b")); failed > 0 || e.CurrentLoad().State != fleet.TargetReady {
			t.Fatalf("%d requests failed, load %+v", failed, e.CurrentLoad())
		}
		if failed := countErrors(generateAll(c, "a", "b", "c", "d", "e", "f")); failed > 0 {
			t.Errorf("%d requests failed", failed)
		}
		want := standin.Peak{Running: 4, ColdRunning: 2, BatchLimit: 4, ColdLimit: 2}
		if got := e.Peak(); got != want {
			t.Errorf("Peak() = %+v, want %+v", got, want)
		}
		e.SetCold()
		e.SetLeaving()
		if got := e.CurrentLoad(); got.State != fleet.TargetLeaving || got.Completed != 8 || got.BootID != "engine-1" {
			t.Errorf("CurrentLoad() = %+v", got)
		}
	})
}

// Overload while cold and a prompt passed to CrashOn crash the engine: it aborts
// everything and comes back cold with a new boot ID.
func TestEngineCrashes(t *testing.T) {
	tests := []struct {
		name    string
		prompts []string
		failed  int
		want    standin.Peak
	}{
		{"cold overload", []string{"a", "b", "c"}, 3, standin.Peak{Crashes: 1, ColdOverloads: 1}},
		{"poison", []string{"a", "poison"}, 2, standin.Peak{Crashes: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			opts := standin.EngineOptions{RestartTime: time.Second}
			withEngine(t, opts, func(t *testing.T, e *standin.Engine, c *target.Client) {
				e.CrashOn("poison")
				failed := countErrors(generateAll(c, test.prompts...))
				got := e.Peak()
				if got.Crashes != test.want.Crashes || got.ColdOverloads != test.want.ColdOverloads || e.CurrentLoad().Running != 0 {
					t.Errorf("after the crash: Peak() = %+v, CurrentLoad() = %+v", got, e.CurrentLoad())
				}
				if failed != test.failed || len(e.Arrivals()) > len(test.prompts) {
					t.Errorf("%d requests failed, %d arrived", failed, len(e.Arrivals()))
				}
				if _, err := c.Load(context.Background(), addr); err == nil {
					t.Error("Load succeeded while the engine was restarting")
				}
				time.Sleep(opts.RestartTime)
				report, err := c.Load(context.Background(), addr)
				if err != nil || report.BootID != "engine-2" || report.State != fleet.TargetCold {
					t.Errorf("after the restart: load %+v, error %v", report, err)
				}
			})
		})
	}
}

// A load report shows the load as it was before the report lag, and a run without a
// reader is canceled after the orphan timeout.
func TestEngineLagAndOrphans(t *testing.T) {
	opts := standin.EngineOptions{ReportLag: 3 * time.Second, OrphanTimeout: time.Minute, TokenTime: time.Second}
	withEngine(t, opts, func(t *testing.T, e *standin.Engine, c *target.Client) {
		time.Sleep(time.Hour)
		s, err := c.Generate(context.Background(), addr, target.GenerateRequest{RequestID: "r", MaxTokens: 1000})
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
		for _, step := range []struct {
			wait              time.Duration
			running, reported int
		}{{2 * time.Second, 1, 0}, {2 * time.Second, 1, 1}, {time.Minute, 0, 0}} {
			time.Sleep(step.wait)
			report, err := c.Load(context.Background(), addr)
			if err != nil || report.Running != step.reported || report.Age() != opts.ReportLag || e.CurrentLoad().Running != step.running {
				t.Errorf("after %v: reported load %+v, error %v; current load %+v", step.wait, report, err, e.CurrentLoad())
			}
		}
	})
}
