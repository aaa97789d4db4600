package ingress

import (
	"net/http"
	"testing"
)

// A caller's retry must get the same fingerprint although its id differs; any other
// difference must change it. Fingerprints must not depend on the process, since instances
// exchange them.
func TestFingerprintDistinguishesContent(t *testing.T) {
	fingerprintOf := func(method, host, uri, customer, content string) uint64 {
		x := &exchange{r: &http.Request{Method: method, Host: host, RequestURI: uri}, body: &body{bytes: []byte(content)}}
		x.customer = "customer"
		if customer != "" {
			x.customer = "other"
		}
		return x.fingerprint()
	}
	base := fingerprintOf("POST", "h", "/a/b", "", "content")
	if again := fingerprintOf("POST", "h", "/a/b", "", "content"); again != base {
		t.Errorf("got fingerprints %x and %x for the same content", again, base)
	}
	for i, other := range []uint64{
		fingerprintOf("PUT", "h", "/a/b", "", "content"), fingerprintOf("POST", "i", "/a/b", "", "content"), fingerprintOf("POST", "h", "/a/", "", "bcontent"),
		fingerprintOf("POST", "h", "/a/b", "other", "content"), fingerprintOf("POST", "h", "/a/b", "", "contents"),
	} {
		if other == base {
			t.Errorf("difference %d does not change the fingerprint", i)
		}
	}
}

// BenchmarkFingerprint computes the fingerprint of a long prompt.
func BenchmarkFingerprint(b *testing.B) {
	x := &exchange{r: &http.Request{Method: "POST", Host: "h", RequestURI: "/a/b"}, body: &body{bytes: make([]byte, 12000)}}
	for b.Loop() {
		x.fingerprint()
	}
}
