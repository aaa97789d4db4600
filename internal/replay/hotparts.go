package replay

import (
	"time"

	"medlarwind.dev/medlarwind/internal/enginemodel"
)

// HotParts returns a spec with the engines, classes and long shared parts of deployment A of
// docs/design/0019-hard-load.md, 12 routers whose heartbeats take up to 400 ms (so that a report is 0 to 600 ms
// old), and a peak of twice the mean load in the middle. load is a factor on the published rates,
// which the mean of the spec has at 1.
func HotParts(load float64) Spec {
	s := Spec{
		Name: "hot-parts", Seed: 1, Length: 12 * time.Second, Routers: 12, Engines: 90, Regions: 3,
		Engine: enginemodel.Params{
			Slots: 32, MaxQueue: 134, MemoryTokens: 509_036,
			StepTime: 3030 * time.Microsecond, StepTimePerRequest: 27600 * time.Nanosecond, StepTimePerThousandTokens: 3650 * time.Nanosecond,
			PrefillTokensPerMillisecond: 92.1, PrefillChunk: 2048,
		},
		Speeds: []float64{1, 1, 1.3}, TokenBytes: 35_136, LinkMbps: 260_000, TransferSetup: 2700 * time.Microsecond,
		RegionLatency: 900 * time.Microsecond, CrossRegionLatency: 20 * time.Millisecond, HeartbeatDelay: 400 * time.Millisecond,
		Customers: 30, Skew: 0.8, TokensPerSecond: 12_000_000, Load: load,
		Classes: []Class{
			{
				Name: "long", PerSecond: 372, FirstByteSLO: 800 * time.Millisecond, GapSLO: 400 * time.Millisecond, CallerTimeout: 12 * time.Second,
				Worth: 4.3, LateWorth: 1.3, Shared: []int{512, 4870}, SharedVariants: []int{1, 508}, VariantSkew: 0.3,
				Own: 6610, Output: 378, OwnSpread: 0.5, OutputSpread: 0.44, MaxOwn: 54600, MaxOutput: 1122,
			},
			{
				Name: "short", PerSecond: 474, FirstByteSLO: 500 * time.Millisecond, GapSLO: 400 * time.Millisecond, CallerTimeout: 10 * time.Second,
				Worth: 2.2, LateWorth: 0.67, Shared: []int{119, 79}, SharedVariants: []int{40, 510},
				Own: 628, Output: 288, OwnSpread: 0.8, OutputSpread: 0.69, MaxOwn: 3310, MaxOutput: 954,
			},
			{
				Name: "label", PerSecond: 746, FirstByteSLO: 600 * time.Millisecond, GapSLO: 400 * time.Millisecond, CallerTimeout: 3 * time.Second,
				Worth: 0.35, LateWorth: 0.11, Shared: []int{341, 227}, SharedVariants: []int{20, 360},
				Own: 1800, Output: 27, OwnSpread: 0.9, OutputSpread: 0.5, MaxOwn: 6870, MaxOutput: 90,
			},
		},
	}
	for c := range s.Customers {
		s.Surges = append(s.Surges, Surge{Customer: c, At: 5 * time.Second, Length: 4 * time.Second, Factor: 2})
	}
	return s
}
