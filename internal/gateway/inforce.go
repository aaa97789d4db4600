package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/wire"
)

// outdatedNoticeTime is how long this instance counts its configuration as outdated after a
// peer has reported a newer one. Peers repeat their report with each heartbeat.
const outdatedNoticeTime = 5 * heartbeatInterval

// setConfiguration puts a configuration in force, whose undecoded content is text, unless the
// one in force is as new.
func (g *Gateway) setConfiguration(c *catalog.Catalog, text []byte, source string) {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	current := g.catalog.Load()
	switch {
	case current == nil || c.Version > current.Version:
		if c.RequiresKey() {
			g.keysRequired.Store(true)
		}
		g.scheduler.SetCatalog(c)
		g.catalog.Store(c)
		g.configText = text
		customers, keys := c.Keys()
		g.options.Log.Info().Str("event", "configuration").Uint64("version", c.Version).Str("source", source).
			Bool("lists_customers", c.RequiresKey()).Int("customers", customers).Int("keys", keys).
			Bool("keys_required", g.keysRequired.Load()).Msg("")
	case c.Version < current.Version && c.Version != g.olderVersion:
		g.olderVersion = c.Version
		g.options.Log.Warn().Str("event", "configuration_older").Uint64("version", c.Version).
			Uint64("in_force", current.Version).Str("source", source).Msg("")
	}
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (g *Gateway) configVersion() uint64 {
	if c := g.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// noteConfigVersion compares the version in force at a peer with this instance's. A peer that has
// no newer records but a newer configuration has it from before a restore of the platform, after
// which this instance started. The peer reported after reportedAt. g.mu must be held.
func (g *Gateway) noteConfigVersion(from fleet.InstanceID, hb *wire.Heartbeat, reportedAt, now clock.Instant) {
	if hb.KeysRequired {
		g.keysRequired.Store(true)
	}
	if hb.ConfigVersion == 0 || hb.Records == nil {
		return
	}
	applied, _ := g.applied.State()
	reported := records.NewPosition(hb.Records.Era, hb.Records.Revision)
	sameEra := reported.SharesHistory(applied)
	known := hb.ConfigSource && sameEra
	if known && g.comparison.isNeeded(now) && len(hb.KeptEvacuations) > 0 {
		g.scheduler.KeepEvacuations(hb.KeptEvacuations, time.Duration(hb.KeptMillis)*time.Millisecond)
	}
	if hb.ConfigVersion <= g.configVersion() {
		if known && g.comparison.note(reportedAt, now) || sameEra && !known && g.comparison.noteUnknowing(from, now) {
			g.options.Log.Info().Str("event", "configuration_compared").Str("peer", string(from)).
				Uint64("version", g.configVersion()).Uint64("peer_version", hb.ConfigVersion).Bool("peer_knows", known).Msg("")
		}
		return
	}
	// Records that this instance has but has not applied yet may bring the peer's configuration.
	if applied.IsZero() || reported.After(applied) {
		return
	}
	g.newerVersion.Store(hb.ConfigVersion)
	g.outdatedUntil.Store(int64(now.Add(outdatedNoticeTime)))
	if !g.fetching {
		g.fetching = true
		go g.fetchConfiguration(from)
	}
}

// isSource reports whether peers may compare their configuration with that of this instance.
func (g *Gateway) isSource(now clock.Instant) bool {
	applied, _ := g.applied.State()
	held, _ := g.copy.State()
	return applied.SharesHistory(held) && !g.haveLapsed(now) && g.comparison.isSource(now)
}

// mayBeOutdated reports whether a peer has a newer configuration in force that the platform's
// records lack, or whether this instance has yet to compare its own with a peer's.
func (g *Gateway) mayBeOutdated() bool {
	now := g.options.Now()
	return now < clock.Instant(g.outdatedUntil.Load()) && g.configVersion() < g.newerVersion.Load() || g.comparison.isNeeded(now)
}

// fetchConfiguration takes the configuration in force at a peer.
func (g *Gateway) fetchConfiguration(from fleet.InstanceID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	err := g.takeConfiguration(ctx, from)
	g.options.Log.Info().Str("event", "configuration_from_peer").Str("peer", string(from)).
		Uint64("version", g.configVersion()).Err(err).Msg("")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fetching = false
}

func (g *Gateway) takeConfiguration(ctx context.Context, from fleet.InstanceID) error {
	reply, err := g.transport.FetchConfig(ctx, from, &wire.ConfigRequest{InForce: true})
	if err != nil {
		return err
	}
	if len(reply.InForce) == 0 {
		return errors.New("peer sent no configuration")
	}
	c, err := g.options.Interpreter.DecodeConfiguration(reply.InForce)
	if err != nil {
		return err
	}
	g.setConfiguration(c, reply.InForce, string(from))
	return nil
}

// inForceReply returns the configuration in force for a peer.
func (g *Gateway) inForceReply() *wire.ConfigReply {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	return &wire.ConfigReply{InForce: g.configText}
}
