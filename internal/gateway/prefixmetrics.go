package gateway

import "medlarwind.dev/medlarwind/internal/scheduler"

// prefixGauges are the counters of prefix fetches, as they are served.
type prefixGauges struct {
	// Fetches, LateFetches and FetchedTokens count requests and tokens of transfers.
	Fetches       int64 `json:"fetches"`
	LateFetches   int64 `json:"late_fetches"`
	FetchedTokens int64 `json:"fetched_tokens"`
	// Entries and Targets are the sizes of the index.
	Entries int `json:"entries"`
	Targets int `json:"targets"`
	// The others count entries.
	Dropped   int64 `json:"entries_disproved"`
	Evicted   int64 `json:"entries_evicted"`
	Restarted int64 `json:"entries_of_former_starts"`
	Displaced int64 `json:"entries_displaced"`
	Merged    int64 `json:"entries_merged"`
	Ignored   int64 `json:"entries_ignored"`
}

// gaugesOf returns the counters as they are served.
func gaugesOf(c scheduler.PrefixCounters) prefixGauges {
	return prefixGauges{
		Fetches: c.Fetches, LateFetches: c.LateFetches, FetchedTokens: c.FetchedTokens, Entries: c.Entries, Targets: c.Targets,
		Dropped: c.Dropped, Evicted: c.Evicted, Restarted: c.Restarted, Displaced: c.Displaced, Merged: c.Merged, Ignored: c.Ignored,
	}
}
