package fleet

import "testing"

func TestWorkloadString(t *testing.T) {
	tests := []struct {
		workload Workload
		want     string
	}{
		{Workload{Model: "appraise"}, "model:appraise"},
		{Workload{Service: "registry"}, "service:registry"},
	}
	for _, test := range tests {
		if got := test.workload.String(); got != test.want {
			t.Errorf("String() = %q, want %q", got, test.want)
		}
	}
}
