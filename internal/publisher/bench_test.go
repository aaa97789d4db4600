package publisher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"syscall"
	"testing"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/publisher"
	"medlarwind.dev/medlarwind/internal/standin"
)

// BenchmarkList measures reads of the list over TCP, whole or unchanged. Processor time
// includes that of the stand-in platform. It also reports the length of the list as JSON.
func BenchmarkList(b *testing.B) {
	for name, size := range map[string][2]int{"today": {7, 23}, "design": {380, 12_000}} {
		b.Run(name, func(b *testing.B) {
			list := fleet.List{Version: 1}
			for i := range size[0] {
				list.Instances = append(list.Instances, fleet.ListedInstance{ID: fleet.InstanceID(fmt.Sprintf("dc-%02d-i%03d", i%21, i)), DataCentre: fleet.DataCentreID(fmt.Sprintf("dc-%02d", i%21)),
					CallerAddr: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), PeerAddr: fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250), State: fleet.StateLive})
			}
			for i := range size[1] {
				list.Targets = append(list.Targets, fleet.ListedTarget{ID: fleet.TargetID(fmt.Sprintf("dc-%02d-e%05d", i%21, i)), DataCentre: fleet.DataCentreID(fmt.Sprintf("dc-%02d", i%21)),
					Addr: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), State: fleet.StateLive})
			}
			text, _ := json.Marshal(list)
			p := standin.NewPlatform(standin.PlatformOptions{})
			p.SetList(list, 0)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer standin.Serve(l, p)()
			c := publisher.NewClient(l.Addr().String(), (&net.Dialer{}).DialContext)
			defer c.Close()
			for known, label := range []string{"whole", "unchanged"} {
				b.Run(label, func(b *testing.B) {
					before := processorTime()
					for b.Loop() {
						if _, changed, err := c.ListIfChanged(context.Background(), uint64(known)); err != nil || changed != (known == 0) {
							b.Fatal(changed, err)
						}
					}
					b.ReportMetric(float64(processorTime()-before)/float64(b.N)/1e3, "cpu-µs/op")
					b.ReportMetric(float64(len(text)), "text-B")
				})
			}
		})
	}
}

// processorTime returns the processor time that the process has used, in nanoseconds.
func processorTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano() + usage.Stime.Nano()
}
