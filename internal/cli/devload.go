package cli

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Answer lengths of the sample requests, in tokens: a dossier is a long request, a lookup
// a short one.
const (
	dossierTokens = 400
	lookupTokens  = 8
)

// devConcurrency is the maximum number of concurrent sample requests of one customer.
const devConcurrency = 8

// devSummary is the summary that the "dev" command prints.
type devSummary struct {
	Requests     int           `json:"requests"`
	Completed    int           `json:"whole"`
	Refused      int           `json:"refused"`
	Broken       int           `json:"broken"`
	ControlBytes int64         `json:"control_bytes"`
	Millis       int64         `json:"milliseconds"`
	Customers    []devCustomer `json:"customers"`
}

// devCustomer is one customer's part of the summary.
type devCustomer struct {
	Customer  fleet.CustomerID `json:"customer"`
	Share     int              `json:"share"`
	Completed int              `json:"whole"`
	Refused   int              `json:"refused"`
	Broken    int              `json:"broken"`
	Service   fleet.Cost       `json:"service"`
}

// sampleResult is the outcome of one sample request.
type sampleResult int

const (
	sampleCompleted sampleResult = iota
	sampleRefused
	sampleBroken
)

// runSamples sends the sample requests of all customers concurrently and returns the
// summary.
func runSamples(ctx context.Context, local *localfleet.Fleet, f *devFlags) devSummary {
	ctx, cancel := context.WithTimeout(ctx, f.duration)
	defer cancel()
	start := time.Now()
	rows := make([]devCustomer, len(local.Spec.Customers))
	var group sync.WaitGroup
	for i, customer := range local.Spec.Customers {
		rows[i] = devCustomer{Customer: customer.ID, Share: customer.Share}
		count := f.requests / len(rows)
		if i < f.requests%len(rows) {
			count++
		}
		rng := rand.New(rand.NewPCG(f.seed, uint64(i)))
		seed := local.Members[i%len(local.Members)]
		c := local.Client(fmt.Sprintf("caller-%d", i), customer, seed)
		group.Go(func() { sampleCustomer(ctx, c, rng, count, &rows[i]) })
	}
	group.Wait()
	summary := devSummary{Requests: f.requests, Customers: rows, Millis: time.Since(start).Milliseconds()}
	for i := range rows {
		rows[i].Service = totalService(local, rows[i].Customer)
		summary.Completed += rows[i].Completed
		summary.Refused += rows[i].Refused
		summary.Broken += rows[i].Broken
	}
	for _, m := range local.Members {
		summary.ControlBytes += m.Running().ControlBytes()
	}
	return summary
}

// sampleCustomer sends the requests of one customer, at most devConcurrency at once, and
// counts their outcomes in row.
func sampleCustomer(ctx context.Context, c *client.Client, rng *rand.Rand, count int, row *devCustomer) {
	var group sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, devConcurrency)
	for n := range count {
		kind := rng.IntN(10)
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			result := sendSample(ctx, c, kind, fmt.Sprintf("%s lot %d", row.Customer, n))
			mu.Lock()
			defer mu.Unlock()
			row.add(result)
		})
	}
	group.Wait()
}

func (r *devCustomer) add(result sampleResult) {
	switch result {
	case sampleCompleted:
		r.Completed++
	case sampleRefused:
		r.Refused++
	default:
		r.Broken++
	}
}

// sendSample sends one request. Of the kinds 0 to 9, kind 0 is a non-repeatable call,
// kinds 1 to 3 are dossiers and the others are lookups.
func sendSample(ctx context.Context, c *client.Client, kind int, text string) sampleResult {
	switch {
	case kind == 0:
		return sampleCall(ctx, c, text)
	case kind < 4:
		return sampleGenerate(ctx, c, text, dossierTokens)
	default:
		return sampleGenerate(ctx, c, text, lookupTokens)
	}
}

func sampleGenerate(ctx context.Context, c *client.Client, prompt string, tokens int64) sampleResult {
	request := &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: prompt, MaxTokens: tokens}
	answer, err := c.Generate(ctx, request, nil)
	if err != nil {
		return classifyError(err)
	}
	if !bytes.Equal(answer.Data, standin.Output(prompt, tokens)) {
		return sampleBroken
	}
	return sampleCompleted
}

func sampleCall(ctx context.Context, c *client.Client, text string) sampleResult {
	id, err := c.IssueCallID(ctx)
	if err != nil {
		return classifyError(err)
	}
	body, err := c.CallOnce(ctx, id, string(localfleet.ServiceName), "settle", []byte(text))
	if err != nil {
		return classifyError(err)
	}
	if string(body) != text {
		return sampleBroken
	}
	return sampleCompleted
}

// classifyError returns sampleRefused if the request certainly did not run, otherwise
// sampleBroken.
func classifyError(err error) sampleResult {
	var failed *client.RequestError
	if errors.As(err, &failed) && failed.Kind == client.NotRun {
		return sampleRefused
	}
	return sampleBroken
}

// totalService returns the service that all instances recorded for one customer.
// Instances that report no status are left out.
func totalService(local *localfleet.Fleet, customer fleet.CustomerID) fleet.Cost {
	var total fleet.Cost
	for _, m := range local.Members {
		status, err := m.Running().Status(context.Background())
		if err != nil {
			continue
		}
		for _, row := range status.Customers {
			if row.Customer == customer {
				total += row.Own
			}
		}
	}
	return total
}
