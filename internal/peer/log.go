package peer

import (
	"cmp"
	"net"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// logEvery thins out the lines on failed dials of one peer.
const logEvery = 32

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
func (t *Transport) logEnded(l *link) {
	cause := l.failureCause()
	level := zerolog.InfoLevel
	switch KindOf(cause) {
	case KindIdentity, KindVersion, KindMalformed, KindOversize, KindMethod, KindSuperseded, KindQueueFull:
		level = zerolog.WarnLevel
	}
	t.mu.RLock()
	name := cmp.Or(l.hello.Instance, l.dialed)
	t.mu.RUnlock()
	t.options.Log.WithLevel(level).
		Str("peer", string(name)).
		Str("addr", l.meter.RemoteAddr().String()).
		Str("reason", string(KindOf(cause))).
		AnErr("error", cause).
		Msg("peer connection ended")
}

func (t *Transport) logRefused(conn net.Conn, err error) {
	t.options.Log.Warn().
		Str("addr", conn.RemoteAddr().String()).
		Str("reason", string(KindOf(err))).
		Err(err).
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
		Err(err).
		Msg("peer dial failed")
}
