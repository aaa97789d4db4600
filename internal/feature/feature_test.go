package feature_test

import (
	"testing"

	"medlarwind.dev/medlarwind/internal/feature"
)

func TestWithout(t *testing.T) {
	s, err := feature.Without(" load-reports, hand-over,")
	if err != nil || s.Enabled(feature.LoadReports) || s.Enabled(feature.HandOver) || !s.Enabled(feature.PrefixFetch) {
		t.Errorf("got %+v, %v, want all parts but load-reports and hand-over", s, err)
	}
	if s, err = feature.Without(""); err != nil || !s.Enabled(feature.LoadReports) {
		t.Errorf("got %+v, %v for an empty list, want all parts", s, err)
	}
	if s, err = feature.New("", ""); err != nil || s.Enabled(feature.RunBackups) {
		t.Errorf("got %+v, %v, want run-backups off", s, err)
	}
	if s, err = feature.New("run-backups", ""); err != nil || !s.Enabled(feature.RunBackups) || !s.Enabled(feature.EvenLoad) {
		t.Errorf("got %+v, %v, want run-backups beside the parts that are on by default", s, err)
	}
	// A part that is misspelt would stay on without notice.
	if _, err = feature.Without("load-report"); err == nil {
		t.Error("an unknown part is accepted")
	}
}
