package instance

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// Timing and limits of orders.
const (
	// orderRetryInterval is the time between two attempts at an order without a final
	// result.
	orderRetryInterval = 5 * time.Second
	// orderBacklog bounds the orders waiting to be sent. Orders beyond it are queued on a
	// later tick.
	orderBacklog = 64
	// orderTimeout bounds one attempt at an order.
	orderTimeout = 10 * time.Second
)

// orderKinds maps the order kinds of the rules to those of the engine protocol.
var orderKinds = map[rules.OrderKind]enginewire.OrderKind{
	rules.OrderLoadModel:   enginewire.OrderLoadModel,
	rules.OrderLoadAdapter: enginewire.OrderLoadAdapter,
	rules.OrderLoadVersion: enginewire.OrderLoadVersion,
	rules.OrderRole:        enginewire.OrderSetRole,
}

// OrderState is the progress of an order.
type OrderState string

// The states of an order at the instance that owns its target.
const (
	OrderWaiting OrderState = "waiting"
	OrderDone    OrderState = "done"
	// OrderOutdated means that the target has seen a higher fencing number: another
	// instance has a newer configuration.
	OrderOutdated OrderState = "outdated"
	OrderRefused  OrderState = "refused"
)

// orderKey identifies an order to one boot of a target. A new boot has lost the effect of
// all earlier orders.
type orderKey struct {
	kind   rules.OrderKind
	name   string
	target fleet.TargetID
	bootID string
}

// orderEntry is the state of an order and the time of its last attempt.
type orderEntry struct {
	state       OrderState
	lastAttempt time.Time
}

// orderJob is one order to be sent.
type orderJob struct {
	key   orderKey
	addr  string
	order target.Order
}

// orderResult is the result of an orderJob.
type orderResult struct {
	key orderKey
	err error
}

// sendOrders queues the orders to owned targets that are due. The fencing number is the
// configuration's version, so that a target that checks it refuses an instance with an
// older configuration. A target that ignores it may carry out an outdated order until the
// sender has received the newer configuration.
func (c *core) sendOrders(now time.Time) {
	if c.snapshot == nil || !c.settled || c.draining {
		return
	}
	for _, order := range c.snapshot.Rules.Orders {
		owner, ok := c.ledger.Owner(order.Target, now)
		bootID := c.ledger.State(order.Target).BootID
		if !ok || owner != c.options.self || bootID == "" {
			continue
		}
		c.sendOrder(order, bootID, now)
	}
}

func (c *core) sendOrder(order rules.Order, bootID string, now time.Time) {
	key := orderKey{kind: order.Kind, name: order.Name, target: order.Target, bootID: bootID}
	entry := c.orders[key]
	if entry.state == OrderDone || entry.state == OrderRefused || now.Sub(entry.lastAttempt) < orderRetryInterval {
		return
	}
	job := orderJob{
		key:  key,
		addr: c.targets[order.Target].addr,
		order: target.Order{
			Kind:     orderKinds[order.Kind],
			Name:     order.Name,
			Fence:    c.snapshot.Version,
			Instance: c.options.self,
		},
	}
	select {
	case c.orderJobs <- job:
		c.orders[key] = orderEntry{state: OrderWaiting, lastAttempt: now}
	default:
	}
}

// apply records the result of an order. An order without a response is sent again, which
// is safe because orders are idempotent.
func (e orderResult) apply(c *core, _ time.Time) {
	state := orderState(e.err)
	entry := c.orders[e.key]
	entry.state = state
	c.orders[e.key] = entry
	c.log.Info().Str("event", "order").Str("target", string(e.key.target)).
		Str("kind", string(e.key.kind)).Str("name", e.key.name).
		Str("state", string(state)).AnErr("error", e.err).Msg("")
}

func orderState(err error) OrderState {
	var fenced *target.FenceError
	var failed *target.Error
	switch {
	case err == nil:
		return OrderDone
	case errors.As(err, &fenced):
		return OrderOutdated
	case errors.As(err, &failed) && failed.Reason == enginewire.ReasonSenderRefused:
		return OrderRefused
	default:
		return OrderWaiting
	}
}

// removeStaleOrders removes the states of orders that the rules no longer contain or that
// were sent to an earlier boot.
func (c *core) removeStaleOrders() {
	wanted := make(map[orderKey]bool, len(c.snapshot.Rules.Orders))
	for _, order := range c.snapshot.Rules.Orders {
		key := orderKey{kind: order.Kind, name: order.Name, target: order.Target}
		wanted[key] = true
	}
	for key := range c.orders {
		withoutBoot := key
		withoutBoot.bootID = ""
		if !wanted[withoutBoot] || key.bootID != c.ledger.State(key.target).BootID {
			delete(c.orders, key)
		}
	}
}

// orderSender sends orders one at a time and posts their results to the core. Its
// goroutine ends with ctx.
type orderSender struct {
	targets *target.Client
	jobs    <-chan orderJob
	post    func(context.Context, event) bool
}

func (s *orderSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-s.jobs:
			s.post(ctx, orderResult{key: job.key, err: s.send(ctx, job)})
		}
	}
}

func (s *orderSender) send(ctx context.Context, job orderJob) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.targets.Order(ctx, job.addr, job.order)
}
