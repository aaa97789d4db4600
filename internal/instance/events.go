package instance

import (
	"time"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// event is an input of the core. The core calls apply on its own goroutine.
type event interface {
	apply(c *core, now time.Time)
}

// waiter is a request that waits in Admit for its result. After it has been posted, only
// the core may access its fields, except for reply.
type waiter struct {
	work  entry.AdmissionRequest
	reply chan admitResult
	id    uint64
	since time.Time
	// done is set once a result was sent or the request was withdrawn.
	done bool
}

type (
	// admitEvent requests a lease for a request.
	admitEvent struct{ waiter *waiter }
	// withdrawEvent removes a waiting request and then closes done.
	withdrawEvent struct {
		waiter *waiter
		done   chan struct{}
	}
	// beginEvent checks a permit immediately before its use.
	beginEvent struct {
		lease *lease
		reply chan bool
	}
	// chargeEvent carries the input and output tokens of a request so far.
	chargeEvent struct {
		lease         *lease
		input, output int64
	}
	// endEvent ends a lease.
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
	// peerEvent reports that the connection to a peer was made or lost.
	peerEvent struct {
		from      wire.Hello
		connected bool
	}
	// reportEvent is the result of one load poll.
	reportEvent struct {
		target    fleet.TargetID
		report    fleet.LoadReport
		err       error
		requested time.Time
		received  time.Time
	}
	// listEvent is the result of one read of the platform's list: a new list, the version
	// that is unchanged on the platform, or an error.
	listEvent struct {
		unchangedVersion uint64
		list             fleet.List
		err              error
	}
	// configEvent puts another configuration in force.
	configEvent struct{ snapshot *config.Snapshot }
	// settledEvent reports that the watcher has finished asking the listed peers for the
	// configuration, so that the instance may take new work.
	settledEvent struct{}
	// drainEvent starts a planned stop.
	drainEvent struct{}
	// closeEvent ends the acceptance of new work during a planned stop and then closes
	// done.
	closeEvent struct{ done chan struct{} }
	// statusEvent requests the instance's status.
	statusEvent struct{ reply chan Status }
)
