package instance

import (
	"context"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/wire"
)

// peerHandler puts peers' messages on the core's channel. It never blocks: a
// heartbeat or grant that finds the channel full is dropped, which the protocol
// bears as it bears a lost message.
type peerHandler struct {
	events chan<- event
	store  *config.Store
	// settled reports whether this instance takes new work.
	settled func() bool
	// dropped counts messages lost to a full channel.
	dropped func()
}

var _ peer.Handler = (*peerHandler)(nil)

func (h *peerHandler) offer(e event) {
	select {
	case h.events <- e:
	default:
		h.dropped()
	}
}

// PeerHeartbeat implements peer.Handler.
func (h *peerHandler) PeerHeartbeat(from wire.Hello, hb *wire.Heartbeat) {
	h.offer(heartbeatEvent{from: from, heartbeat: hb})
}

// PeerGrant implements peer.Handler.
func (h *peerHandler) PeerGrant(from wire.Hello, g *wire.Grant) {
	h.offer(grantEvent{from: from, grant: g})
}

// PeerConnected implements peer.Handler.
func (h *peerHandler) PeerConnected(from wire.Hello) {
	h.offer(peerEvent{from: from, connected: true})
}

// PeerGone implements peer.Handler.
func (h *peerHandler) PeerGone(from wire.Hello, _ error) {
	h.offer(peerEvent{from: from})
}

// PeerConfig implements peer.Handler: it answers with the configuration in force.
func (h *peerHandler) PeerConfig(_ wire.Hello, r *wire.ConfigRequest) (*wire.ConfigReply, error) {
	reply, err := h.store.Answer(*r, h.settled())
	return &reply, err
}

// peerFetcher asks peers for their configuration.
type peerFetcher struct{ transport *peer.Transport }

var _ config.PeerFetcher = peerFetcher{}

// FetchConfig implements config.PeerFetcher.
func (f peerFetcher) FetchConfig(ctx context.Context, to fleet.InstanceID, r wire.ConfigRequest) (wire.ConfigReply, error) {
	reply, err := f.transport.FetchConfig(ctx, to, &r)
	if err != nil {
		return wire.ConfigReply{}, err
	}
	return *reply, nil
}
