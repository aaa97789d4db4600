package instance

import (
	"time"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// event is one input of the core; apply runs on the core's goroutine.
type event interface {
	apply(c *core, now time.Time)
}

// waiter is one request between Admit and its answer. Only the core touches it
// after it was posted.
type waiter struct {
	work  entry.Work
	reply chan admitResult
	id    uint64
	since time.Time
	// done is set once an answer was sent or the request was withdrawn.
	done bool
}

type (
	// admitEvent asks for permission to start a request.
	admitEvent struct{ waiter *waiter }
	// withdrawEvent takes a waiting request back; done is closed after.
	withdrawEvent struct {
		waiter *waiter
		done   chan struct{}
	}
	// beginEvent checks a permit at the moment of use.
	beginEvent struct {
		lease *lease
		reply chan bool
	}
	// chargeEvent tells the tokens read and generated so far.
	chargeEvent struct {
		lease         *lease
		input, output int64
	}
	// endEvent returns a slot.
	endEvent struct {
		lease         *lease
		kind          entry.EndKind
		input, output int64
	}
	// heartbeatEvent is a peer's heartbeat.
	heartbeatEvent struct {
		from      wire.Hello
		heartbeat *wire.Heartbeat
	}
	// grantEvent is a peer's grant.
	grantEvent struct {
		from  wire.Hello
		grant *wire.Grant
	}
	// peerEvent says that a peer's connection came up or went away.
	peerEvent struct {
		from      wire.Hello
		connected bool
	}
	// reportEvent is the answer to one load poll.
	reportEvent struct {
		target    fleet.TargetID
		report    fleet.LoadReport
		err       error
		requested time.Time
		received  time.Time
	}
	// listEvent is a version of the platform's list, the word that the platform holds
	// the version same, or the failure to read it.
	listEvent struct {
		unchangedVersion uint64
		list             fleet.List
		err              error
	}
	// configEvent says that another configuration is in force.
	configEvent struct{ snapshot *config.Snapshot }
	// settledEvent says that the peers on the list were asked for the configuration.
	settledEvent struct{}
	// drainEvent begins a planned stop.
	drainEvent struct{}
	// closeEvent ends a planned stop's time of acceptance; done is closed after.
	closeEvent struct{ done chan struct{} }
	// statusEvent asks for a copy of the core's view.
	statusEvent struct{ reply chan Status }
)
