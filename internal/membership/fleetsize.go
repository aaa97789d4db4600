package membership

import "medlarwind.dev/medlarwind/internal/fleet"

// largeFleetSize is the number of live instances above which heartbeats between data
// centres are sent less often, except between peers that share work.
const largeFleetSize = 32

// LargeFleet reports whether a list has so many live instances that heartbeats between
// data centres are sent less often.
func LargeFleet(instances []fleet.ListedInstance) bool {
	live := 0
	for _, instance := range instances {
		if instance.State == fleet.StateLive {
			live++
		}
	}
	return live > largeFleetSize
}
