package ingress

import (
	"net/http"
	"testing"
)

// A request that comes again is the same request under another id; every other difference
// makes it another one. Instances tell each other fingerprints, so that they do not depend
// on the process.
func TestFingerprintTellsContentApart(t *testing.T) {
	of := func(method, host, uri, customer, content string) uint64 {
		x := &exchange{r: &http.Request{Method: method, Host: host, RequestURI: uri}, body: &body{bytes: []byte(content)}}
		x.customer = "customer"
		if customer != "" {
			x.customer = "other"
		}
		return x.fingerprint()
	}
	base := of("POST", "h", "/a/b", "", "content")
	if again := of("POST", "h", "/a/b", "", "content"); again != base {
		t.Errorf("%x and %x for the same content", again, base)
	}
	for i, other := range []uint64{
		of("PUT", "h", "/a/b", "", "content"), of("POST", "i", "/a/b", "", "content"), of("POST", "h", "/a/", "", "bcontent"),
		of("POST", "h", "/a/b", "other", "content"), of("POST", "h", "/a/b", "", "contents"),
	} {
		if other == base {
			t.Errorf("difference %d is not told apart", i)
		}
	}
}

// BenchmarkFingerprint is the fingerprint of a long prompt.
func BenchmarkFingerprint(b *testing.B) {
	x := &exchange{r: &http.Request{Method: "POST", Host: "h", RequestURI: "/a/b"}, body: &body{bytes: make([]byte, 12000)}}
	for b.Loop() {
		x.fingerprint()
	}
}
