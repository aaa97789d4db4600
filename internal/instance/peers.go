package instance

import (
	"context"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/wire"
)

// peerHandler sends messages from peers to the core. It never blocks: if the event channel
// is full, it drops the message. The protocol tolerates that like a message lost by the
// network.
type peerHandler struct {
	events chan<- event
	store  *config.Store
	// settled reports whether this instance takes new work.
	settled func() bool
	// dropped is called for each message that is dropped.
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

// PeerConfig implements peer.Handler. It replies with the configuration in force.
func (h *peerHandler) PeerConfig(_ wire.Hello, r *wire.ConfigRequest) (*wire.ConfigReply, error) {
	reply, err := h.store.Answer(*r, h.settled())
	return &reply, err
}

// peerFetcher requests configurations from peers.
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
