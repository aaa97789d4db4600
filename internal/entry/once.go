package entry

import (
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Sizes of a call id, in bytes before encoding: incarnation, serial, random.
const callIDBytes = 24

// errMalformedCallID is returned for an id that no instance can have issued.
var errMalformedCallID = errors.New("malformed call id")

var callIDEncoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// callID identifies one call that may not be repeated. It names the incarnation
// that issued it, which is the only one that runs it.
type callID struct {
	incarnation fleet.Incarnation
	serial      uint64
	random      uint64
}

// String encodes the id for callers.
func (c callID) String() string {
	var raw [callIDBytes]byte
	binary.BigEndian.PutUint64(raw[0:], uint64(c.incarnation))
	binary.BigEndian.PutUint64(raw[8:], c.serial)
	binary.BigEndian.PutUint64(raw[16:], c.random)
	return callIDEncoding.EncodeToString(raw[:])
}

// parseCallID reads an id. Only the text that String gives is taken.
func parseCallID(text string) (callID, error) {
	raw, err := callIDEncoding.DecodeString(text)
	if err != nil || len(raw) != callIDBytes {
		return callID{}, errMalformedCallID
	}
	id := callID{
		incarnation: fleet.Incarnation(binary.BigEndian.Uint64(raw[0:])),
		serial:      binary.BigEndian.Uint64(raw[8:]),
		random:      binary.BigEndian.Uint64(raw[16:]),
	}
	if id.String() != text {
		return callID{}, errMalformedCallID
	}
	return id, nil
}

// callState is the life of one id: issued -> running -> done. A call that did not
// run goes back to issued.
type callState int

const (
	callIssued callState = iota
	callRunning
	callDone
)

// onceCall is what this incarnation remembers of one id until it expires.
type onceCall struct {
	customer fleet.CustomerID
	expires  time.Time
	state    callState
	digest   [sha256.Size]byte
	// latest is the latest run; nil while the id was never used.
	latest *onceRun
}

// onceRun is one run of a call. Its result is set before ended is closed and not
// changed after.
type onceRun struct {
	call  *onceCall
	ended chan struct{}
	body  []byte
	err   *OutcomeError
}

// onceRegistry makes each id run at most once at this incarnation. It is not safe
// for concurrent use; Server guards it with a mutex. Memory is bounded by
// maxCalls and, but for the answers of calls already running, maxBytes.
type onceRegistry struct {
	self            fleet.Incarnation
	lifetime        time.Duration
	maxCalls        int
	maxAnswerBytes  int
	maxPerCustomer  int
	serial          uint64
	answerBytes     int
	calls           map[callID]*onceCall
	countByCustomer map[fleet.CustomerID]int
	issueOrder      []callID
}

func newOnceRegistry(self fleet.Incarnation, lifetime time.Duration, maxCalls, perCustomer, maxAnswerBytes int) *onceRegistry {
	return &onceRegistry{
		self:            self,
		lifetime:        lifetime,
		maxCalls:        maxCalls,
		maxAnswerBytes:  maxAnswerBytes,
		maxPerCustomer:  perCustomer,
		calls:           make(map[callID]*onceCall),
		countByCustomer: make(map[fleet.CustomerID]int),
	}
}

// issue draws a new id for a customer; false if too many are held.
func (o *onceRegistry) issue(customer fleet.CustomerID, random uint64, now time.Time) (callID, bool) {
	o.expire(now)
	if len(o.calls) >= o.maxCalls || o.countByCustomer[customer] >= o.maxPerCustomer {
		return callID{}, false
	}
	o.serial++
	id := callID{incarnation: o.self, serial: o.serial, random: random}
	o.calls[id] = &onceCall{customer: customer, expires: now.Add(o.lifetime)}
	o.countByCustomer[customer]++
	o.issueOrder = append(o.issueOrder, id)
	return id, true
}

// notStarted reports whether a call cannot have run under an id: it was issued here and
// is not running or done.
func (o *onceRegistry) notStarted(id callID) bool {
	call, found := o.calls[id]
	return found && call.state == callIssued
}

// begin claims an id for running. When start is true the caller of begin must run
// the call and then end it; otherwise the returned run is going on or over.
func (o *onceRegistry) begin(id callID, customer fleet.CustomerID, content [sha256.Size]byte, now time.Time) (run *onceRun, start bool, outcome *OutcomeError) {
	o.expire(now)
	if id.incarnation != o.self {
		return nil, false, &OutcomeError{Kind: Unknown, Reason: ReasonCallIDOtherInstance}
	}
	call, found := o.calls[id]
	if !found || call.customer != customer {
		return nil, false, &OutcomeError{Kind: Unknown, Reason: ReasonCallIDNotHeld}
	}
	if call.state == callIssued {
		return o.start(call, content)
	}
	if call.digest != content {
		return nil, false, &OutcomeError{Kind: Unknown, Reason: ReasonCallIDReused}
	}
	return call.latest, false, nil
}

// start begins a run, as long as its answer can be kept for a resend.
func (o *onceRegistry) start(call *onceCall, content [sha256.Size]byte) (*onceRun, bool, *OutcomeError) {
	if o.answerBytes >= o.maxAnswerBytes {
		return nil, false, refuse(ReasonInstanceMemory, time.Second)
	}
	call.state = callRunning
	call.digest = content
	call.latest = &onceRun{call: call, ended: make(chan struct{})}
	return call.latest, true, nil
}

// end records how a run ended. A call that did not run may be tried again with the
// same id.
func (o *onceRegistry) end(run *onceRun, body []byte, outcome *OutcomeError) {
	run.body = body
	run.err = outcome
	run.call.state = callDone
	o.answerBytes += len(body)
	if outcome != nil && outcome.Kind == NotRun {
		run.call.state = callIssued
	}
	close(run.ended)
}

// expire forgets ids past their lifetime, oldest first. A running call is kept.
func (o *onceRegistry) expire(now time.Time) {
	for len(o.issueOrder) > 0 {
		id := o.issueOrder[0]
		call := o.calls[id]
		if call.state == callRunning || now.Before(call.expires) {
			return
		}
		o.remove(id, call)
		o.issueOrder = o.issueOrder[1:]
	}
}

func (o *onceRegistry) remove(id callID, call *onceCall) {
	if call.latest != nil {
		o.answerBytes -= len(call.latest.body)
	}
	delete(o.calls, id)
	o.countByCustomer[call.customer]--
	if o.countByCustomer[call.customer] == 0 {
		delete(o.countByCustomer, call.customer)
	}
}
