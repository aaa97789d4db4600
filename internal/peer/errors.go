package peer

import (
	"fmt"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Kind classifies an Error. Log lines have it in the field "reason".
type Kind string

// The kinds of errors of this package.
const (
	// KindNotConnected means that no connection to the peer exists.
	KindNotConnected Kind = "not_connected"
	// KindQueueFull means that a limit is reached: of calls and replies in the outbox,
	// of pending calls, of connections or of handshakes.
	KindQueueFull Kind = "queue_full"
	// KindClosed means that the transport was closed.
	KindClosed Kind = "closed"
	// KindDial means that no TCP connection could be made.
	KindDial Kind = "dial"
	// KindTLS means that the TLS handshake failed.
	KindTLS Kind = "tls"
	// KindIdentity means that the id or incarnation that a peer claims does not match
	// its certificate, its hello or the instance dialled.
	KindIdentity Kind = "identity"
	// KindVersion means that a peer uses another protocol version.
	KindVersion Kind = "version"
	// KindSuperseded means that a newer connection or incarnation of the peer replaced
	// the connection.
	KindSuperseded Kind = "superseded"
	// KindMalformed means that a frame or message could not be decoded.
	KindMalformed Kind = "malformed"
	// KindOversize means that a frame, a list or the nesting of a message exceeds its
	// limit.
	KindOversize Kind = "oversize"
	// KindMethod means that the method of a message is unknown or not allowed in the
	// state of the connection.
	KindMethod Kind = "method"
	// KindSilent means a timeout: no byte arrived or could be sent in time, or a call
	// ended without a reply.
	KindSilent Kind = "silent"
	// KindDisconnected means that the connection ended.
	KindDisconnected Kind = "disconnected"
	// KindRemote means that the peer replied to a call with an error.
	KindRemote Kind = "remote"
	// KindUnlisted means that the peer is no longer in the list given to SetPeers.
	KindUnlisted Kind = "unlisted"
)

// Error is the type of all errors that this package returns or passes to a Handler.
type Error struct {
	Kind Kind
	// Peer is the instance concerned, empty if its identity is not yet verified.
	Peer  fleet.InstanceID
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind)
	if e.Peer != "" {
		text = fmt.Sprintf("peer %q: %s", e.Peer, text)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or the empty kind if err is not an Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// withPeer returns err with the peer's id. An error of another type becomes one of
// KindDisconnected.
func withPeer(err error, id fleet.InstanceID) error {
	var e *Error
	if !errors.As(err, &e) {
		return &Error{Kind: KindDisconnected, Peer: id, Cause: err}
	}
	return &Error{Kind: e.Kind, Peer: id, Cause: e.Cause}
}

// errorCause returns the cause of an Error, whose kind is logged in a field of its
// own, and any other error unchanged.
func errorCause(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return err
}

// newError returns an Error without a peer. cause may be nil.
func newError(kind Kind, cause error) *Error {
	return &Error{Kind: kind, Cause: cause}
}

// errorf returns an Error without a peer whose cause has the formatted text.
func errorf(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Cause: errors.Errorf(format, args...)}
}
