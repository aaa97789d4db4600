package peer

import (
	"cmp"
	"net"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Bounds of the log lines that others can cause.
const (
	// logEvery thins out the lines on failed dials of one peer.
	logEvery = 32
	// strangerLines is how many lines on connections without a hello are written in
	// each strangerPeriod.
	strangerLines  = 20
	strangerPeriod = 10 * time.Second
)

// rpcLogger turns the remarks of jsonrpc2 into debug lines; what matters is logged
// with its cause when the connection ends.
type rpcLogger struct {
	log zerolog.Logger
}

// Printf implements jsonrpc2.Logger.
func (r rpcLogger) Printf(format string, args ...any) {
	r.log.Debug().Msgf(format, args...)
}

func (t *Transport) logConnected(l *link) {
	t.options.Log.Info().
		Str("peer", string(l.hello.Instance)).
		Stringer("incarnation", l.hello.Incarnation).
		Str("addr", l.meter.RemoteAddr().String()).
		Bool("dialed", l.dialed != "").
		Msg("peer connected")
}

// logEnded writes why a connection ended: a warning if the peer broke the protocol.
// One that was dialled and not answered is left to logDialFailed.
func (t *Transport) logEnded(l *link) {
	t.mu.RLock()
	name, opened := cmp.Or(l.hello.Instance, l.dialed), l.peer != nil
	t.mu.RUnlock()
	log := t.options.Log
	if !opened {
		log = t.strangerLog
	}
	if !opened && l.dialed != "" {
		return
	}
	cause := l.failureCause()
	log.WithLevel(endLevel(cause, opened)).
		Str("peer", string(name)).
		Str("addr", l.meter.RemoteAddr().String()).
		Str("reason", string(KindOf(cause))).
		AnErr("error", causeOf(cause)).
		Msg("peer connection ended")
}

// endLevel returns the level of the line on the end of a connection. Being replaced
// is usual after the hello; before it, a process runs on that should have ended.
func endLevel(cause error, opened bool) zerolog.Level {
	switch KindOf(cause) {
	case KindClosed, KindUnlisted, KindDisconnected, KindSilent:
		return zerolog.InfoLevel
	case KindSuperseded:
		if opened {
			return zerolog.InfoLevel
		}
		return zerolog.WarnLevel
	default:
		return zerolog.WarnLevel
	}
}

func (t *Transport) logRefused(conn net.Conn, err error) {
	t.strangerLog.Warn().
		Str("addr", conn.RemoteAddr().String()).
		Str("reason", string(KindOf(err))).
		AnErr("error", causeOf(err)).
		Msg("peer connection refused")
}

func (t *Transport) logDialFailed(id fleet.InstanceID, failures int, err error) {
	if failures%logEvery != 1 {
		return
	}
	t.options.Log.Warn().
		Str("peer", string(id)).
		Int("failures", failures).
		Str("reason", string(KindOf(err))).
		AnErr("error", causeOf(err)).
		Msg("peer dial failed")
}
