package quota

import "medlarwind.dev/medlarwind/internal/fleet"

// Clone returns an independent copy. Reading a Meter advances its windows, so what must not change it
// reads a copy. It takes O(n) time for n customers.
func (m *Meter) Clone() *Meter {
	c := &Meter{window: m.window, bucketWidth: m.bucketWidth, customers: make(map[fleet.CustomerID]*customerWindow, len(m.customers))}
	for id, w := range m.customers {
		copied := *w
		c.customers[id] = &copied
	}
	return c
}
