package instance

import (
	"strings"
	"testing"

	"medlarwind.dev/medlarwind/internal/config"
)

// TestConfigAppliesEachChange checks that a configuration version in which one value
// changed is applied in the part of the core that uses the value. It guards against a
// change that configEvent does not detect.
func TestConfigAppliesEachChange(t *testing.T) {
	size := fleetSize{instances: 4, centres: 2, regions: 2, customers: 3, targets: 8, models: 2}
	store := config.NewStore()
	w := newBenchCore(t, size)
	owned := w.owners.owned[0]
	tests := []struct {
		old, new string
		holds    func() bool
	}{
		{"key", "key", func() bool { return !w.targets["e00000"].outOfService }},
		{"mill-00001 share 2", "mill-00001 share 7", func() bool { _, share := w.accounts.Standing("mill-00001"); return share == 7 }},
		{"serves model-0 limit 8", "serves model-1 limit 8", func() bool { return w.targets["e00000"].workloads[0].Model == "model-1" }},
		{"limit 8", "limit 5", func() bool { return w.ledger.State(owned).Limit == 5 }},
		{"dc-00 region region-0 in", "dc-00 region region-0 out", func() bool { return w.targets["e00000"].outOfService }},
	}
	text := string(benchRules(size))
	for i, test := range tests {
		text = strings.ReplaceAll(text, test.old, test.new)
		if _, err := store.Offer(uint64(i+1), []byte(text), config.SourceService); err != nil {
			t.Fatal(err)
		}
		w.apply(configEvent{snapshot: store.Current()})
		w.clock = w.clock.Add(benchStep)
		w.apply(settledEvent{})
		if !test.holds() {
			t.Errorf("%q in place of %q was not applied", test.new, test.old)
		}
	}
}
