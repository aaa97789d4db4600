package entry

import (
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// callIDBytes is the size of a call id before encoding: incarnation, serial and random
// number, 8 bytes each.
const callIDBytes = 24

// errMalformedCallID is returned for a text that is not the encoding of any call id.
var errMalformedCallID = errors.New("malformed call id")

var callIDEncoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// callID identifies one non-repeatable call. Only the incarnation that issued the id
// runs the call.
type callID struct {
	incarnation fleet.Incarnation
	serial      uint64
	random      uint64
}

// String returns the encoded id.
func (c callID) String() string {
	var raw [callIDBytes]byte
	binary.BigEndian.PutUint64(raw[0:], uint64(c.incarnation))
	binary.BigEndian.PutUint64(raw[8:], c.serial)
	binary.BigEndian.PutUint64(raw[16:], c.random)
	return callIDEncoding.EncodeToString(raw[:])
}

// parseCallID decodes an id. It accepts only the exact text that String returns.
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

// callState is the state of one id: issued -> running -> done. An id whose call did not
// run returns to issued.
type callState int

const (
	callIssued callState = iota
	callRunning
	callDone
)

// onceCall is the record of one id, which is kept until the id expires.
type onceCall struct {
	customer fleet.CustomerID
	expires  time.Time
	state    callState
	digest   [sha256.Size]byte
	// latest is the latest run; nil if the id was never used.
	latest *onceRun
}

// onceRun is one run of a call. body and err are set before ended is closed and not
// changed afterwards.
type onceRun struct {
	call  *onceCall
	ended chan struct{}
	body  []byte
	err   *OutcomeError
}

// onceRegistry ensures that the call of each id runs at most once on this incarnation.
// It is not safe for concurrent use; Server guards it with a mutex. It holds at most
// maxCalls ids. No run starts once the answers held reach maxAnswerBytes, so that only
// the answers of calls already running can exceed this limit.
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

// issue returns a new id for a customer. It returns false if the registry or the
// customer already holds the maximum number of ids.
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

// notStarted reports whether no call can have run under an id, since it was issued here
// and its call is neither running nor done.
func (o *onceRegistry) notStarted(id callID) bool {
	call, found := o.calls[id]
	return found && call.state == callIssued
}

// begin claims an id for a call with the given content digest. If start is true, the
// caller must run the call and then call end. Otherwise the returned run has already
// started and may have ended.
func (o *onceRegistry) begin(id callID, customer fleet.CustomerID, digest [sha256.Size]byte, now time.Time) (run *onceRun, start bool, outcome *OutcomeError) {
	o.expire(now)
	if id.incarnation != o.self {
		return nil, false, &OutcomeError{Kind: Unknown, Reason: ReasonCallIDOtherInstance}
	}
	call, found := o.calls[id]
	if !found || call.customer != customer {
		return nil, false, &OutcomeError{Kind: Unknown, Reason: ReasonCallIDNotHeld}
	}
	if call.state == callIssued {
		return o.start(call, digest)
	}
	if call.digest != digest {
		return nil, false, &OutcomeError{Kind: Unknown, Reason: ReasonCallIDReused}
	}
	return call.latest, false, nil
}

// start begins a run. It refuses if there is no memory to keep the answer for a caller
// that sends the call again.
func (o *onceRegistry) start(call *onceCall, digest [sha256.Size]byte) (*onceRun, bool, *OutcomeError) {
	if o.answerBytes >= o.maxAnswerBytes {
		return nil, false, refuse(ReasonInstanceMemory, time.Second)
	}
	call.state = callRunning
	call.digest = digest
	call.latest = &onceRun{call: call, ended: make(chan struct{})}
	return call.latest, true, nil
}

// end records the result of a run. A call that did not run may be sent again with the
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

// expire removes ids past their lifetime, in the order in which they were issued. It
// stops at a call that is running.
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
