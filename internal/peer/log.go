package peer

import (
	"cmp"
	"net"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Limits on log lines that peers and other hosts can cause.
const (
	// dialLogEvery is the number of successive failed dials of one peer for each line.
	dialLogEvery = 32
	// unidentifiedLogLines bounds the lines about connections without a hello in each
	// unidentifiedLogPeriod.
	unidentifiedLogLines  = 20
	unidentifiedLogPeriod = 10 * time.Second
)

// rpcLogger logs the messages of jsonrpc2 at debug level. Errors that end a connection
// are logged by logClosed with their cause.
type rpcLogger struct {
	log zerolog.Logger
}

// Printf implements jsonrpc2.Logger.
func (r rpcLogger) Printf(format string, args ...any) {
	r.log.Debug().Msgf(format, args...)
}

// logConnected logs a registered connection.
func (t *Transport) logConnected(l *link) {
	t.options.Log.Info().
		Str("peer", string(l.hello.Instance)).
		Stringer("incarnation", l.hello.Incarnation).
		Str("addr", l.meter.RemoteAddr().String()).
		Bool("dialed", l.dialed != "").
		Msg("peer connected")
}

// logClosed logs why a connection ended. A dialled connection that got no hello is not
// logged here, since logDialFailed logs it.
func (t *Transport) logClosed(l *link) {
	t.mu.RLock()
	name, opened := cmp.Or(l.hello.Instance, l.dialed), l.peer != nil
	t.mu.RUnlock()
	log := t.options.Log
	if !opened {
		log = t.unidentifiedLog
	}
	if !opened && l.dialed != "" {
		return
	}
	cause := l.closeCause()
	log.WithLevel(closeLogLevel(cause, opened)).
		Str("peer", string(name)).
		Str("addr", l.meter.RemoteAddr().String()).
		Str("reason", string(KindOf(cause))).
		AnErr("error", errorCause(cause)).
		Msg("peer connection ended")
}

// closeLogLevel returns the level at which the end of a connection is logged: a warning
// if the peer violated the protocol. KindSuperseded is normal after the hello. Before
// it, the hello came from a replaced incarnation, whose process should have ended.
func closeLogLevel(cause error, opened bool) zerolog.Level {
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

// logRefused logs an accepted connection that was refused or failed its handshake.
func (t *Transport) logRefused(conn net.Conn, err error) {
	t.unidentifiedLog.Warn().
		Str("addr", conn.RemoteAddr().String()).
		Str("reason", string(KindOf(err))).
		AnErr("error", errorCause(err)).
		Msg("peer connection refused")
}

// logDialFailed logs the first and then every dialLogEvery-th successive failure.
func (t *Transport) logDialFailed(id fleet.InstanceID, failures int, err error) {
	if failures%dialLogEvery != 1 {
		return
	}
	t.options.Log.Warn().
		Str("peer", string(id)).
		Int("failures", failures).
		Str("reason", string(KindOf(err))).
		AnErr("error", errorCause(err)).
		Msg("peer dial failed")
}
