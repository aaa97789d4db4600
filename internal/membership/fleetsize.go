package membership

import "medlarwind.dev/medlarwind/internal/fleet"

// largeFleetSize is the number of live instances above which peers in other data centres
// are heard less often, unless there is work in common.
const largeFleetSize = 32

// LargeFleet reports whether a list has so many live instances that heartbeats between
// data centres are slowed down.
func LargeFleet(instances []fleet.ListedInstance) bool {
	live := 0
	for _, instance := range instances {
		if instance.State == fleet.StateLive {
			live++
		}
	}
	return live > largeFleetSize
}
