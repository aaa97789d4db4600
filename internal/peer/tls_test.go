package peer

import (
	"bytes"
	"testing"
	"time"
)

func TestLoadTLS(t *testing.T) {
	ca, err := NewEphemeralCA()
	if err != nil {
		t.Fatal(err)
	}
	cert, key, authorities, err := ca.IssuePEM("a")
	if err != nil {
		t.Fatal(err)
	}
	_, otherKey, otherCA, _ := ca.IssuePEM("b")
	both := append(bytes.Clone(otherCA), authorities...)
	cases := map[string]struct {
		cert, key, ca []byte
		ok            bool
	}{
		"good":            {cert, key, authorities, true},
		"two authorities": {cert, key, both, true},
		"other key":       {cert, otherKey, authorities, false},
		"no certificate":  {nil, key, authorities, false},
		"no authority":    {cert, key, []byte("x"), false},
	}
	for name, c := range cases {
		config, err := LoadTLS(c.cert, c.key, c.ca)
		if (err == nil) != c.ok || err != nil && KindOf(err) != KindTLS {
			t.Errorf("%s: %v", name, err)
		}
		if c.ok && (CheckIdentity(config, "a") != nil || KindOf(CheckIdentity(config, "b")) != KindIdentity) {
			t.Errorf("%s: CheckIdentity does not accept only instance a", name)
		}
		if c.ok && !Expiry(config).After(time.Now()) {
			t.Errorf("%s: expired at %v", name, Expiry(config))
		}
	}
}
