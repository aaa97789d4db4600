package instance

import (
	"crypto/sha256"
	"testing"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/rules"
)

// Rules without customers must refuse every secret, and so must an instance without rules.
func TestRulesWithoutCustomersLetCallersIn(t *testing.T) {
	d := &directory{}
	require := func(when string, want error) {
		t.Helper()
		for _, secret := range []string{"revoked", "never held", ""} {
			if customer, err := d.Authenticate(sha256.Sum256([]byte(secret))); !errors.Is(err, want) {
				t.Errorf("%s, secret %q: customer %q and error %v, want %v", when, secret, customer, err, want)
			}
		}
	}
	require("no rules", entry.ErrStarting)
	d.publishConfig(&config.Snapshot{Version: 1, Rules: &rules.Document{Customers: map[fleet.CustomerID]rules.Customer{
		"c1": {ID: "c1", KeyHash: sha256.Sum256([]byte("revoked"))},
	}}})
	if customer, err := d.Authenticate(sha256.Sum256([]byte("revoked"))); customer != "c1" || err != nil {
		t.Errorf("customer %q and error %v, want c1", customer, err)
	}
	d.publishConfig(&config.Snapshot{Version: 2, Rules: &rules.Document{}})
	require("no customer left", entry.ErrCredentials)
}
