package rules

import (
	"crypto/sha256"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

var (
	keyA       = fmt.Sprintf("sha256:%x", sha256.Sum256([]byte("a")))
	keyB       = fmt.Sprintf("sha256:%x", sha256.Sum256([]byte("b")))
	validRules = `# The floor's rules.
datacentre tw-north region taiwan in # Lin
datacentre tw-south region taiwan out # Lin, maintenance

customer mill-a share 3 queue 64 key ` + keyA + ` # Chen
customer mill-b share 1 queue 8 key ` + keyB + ` # Chen
model appraise input 1 output 4 # Wu
model tag input 1 output 2 # Wu
target tw-e1 datacentre tw-north serves appraise,tag limit 8 cold 1 fencing checked sender ignored # Wu
target tw-r1 datacentre tw-north service registry limit 16 cold 4 # Wu
call registry.settle once cost 50 # Hsu
call registry.look repeatable cost 5 # Hsu
order load-model tag on tw-e1 # Wu
order role prefill on tw-e1 # Wu
`
)

// TestParseValid guards against values of a valid document that are lost or misread.
func TestParseValid(t *testing.T) {
	document, err := Parse([]byte(validRules))
	if err != nil {
		t.Fatal(err)
	}
	target := document.Targets["tw-e1"]
	want := Target{
		ID: "tw-e1", DataCentre: "tw-north", Models: []fleet.ModelID{"appraise", "tag"},
		Limit: 8, ColdLimit: 1, FencingChecked: true, RequestedBy: "Wu", Line: 9,
	}
	if !reflect.DeepEqual(target, want) {
		t.Errorf("target = %+v, want %+v", target, want)
	}
	settle := document.Calls[CallKey{"registry", "settle"}]
	if !settle.Once || settle.Cost != 50 {
		t.Errorf("call registry.settle = %+v, want Once and Cost 50", settle)
	}
	if !document.DataCentres["tw-south"].OutOfService || document.DataCentres["tw-north"].OutOfService {
		t.Errorf("data centres = %+v, want only tw-south out of service", document.DataCentres)
	}
	if customer := document.Customers["mill-a"]; customer.KeyHash != sha256.Sum256([]byte("a")) || customer.Share != 3 {
		t.Errorf("customer mill-a = %+v, want share 3 and the hash of secret a", customer)
	}
	if len(document.Orders) != 2 || document.Orders[1].Kind != OrderRole {
		t.Errorf("orders = %+v, want 2, the second a role order", document.Orders)
	}
	registry := document.Targets["tw-r1"]
	if !registry.Serves(fleet.Workload{Service: "registry"}) || registry.Serves(fleet.Workload{Model: "tag"}) ||
		!target.Serves(fleet.Workload{Model: "tag"}) || target.Serves(fleet.Workload{}) {
		t.Error("Serves() returned a wrong result for a target of the document")
	}
}

// TestParseErrors appends invalid lines to a valid document, first all of them together
// and then each alone. Each error must be reported at its line and column.
func TestParseErrors(t *testing.T) {
	tests := []struct{ line, want string }{
		{"customer mill-c share 3 queue 64 key sha256:" + strings.Repeat("0", 64), "109: the rule has no comment"},
		{"customer mill-d share 3 queue 64 key sha256:" + strings.Repeat("1", 64) + " #  ", "113: the rule has no comment"},
		{"custommer x share 1 # Chen", `1: unknown rule "custommer"`},
		{"customer mill-a share 1 queue 1 key sha256:" + strings.Repeat("2", 64) + " # Chen", `10: customer "mill-a" is already defined on line 5`},
		{"customer mill-e share 1 queue 1 key " + keyB + " # Chen", "37: the key is already used by the customer on line 6"},
		{"customer mill-f share 0 queue 1 key " + keyA + " # Chen", "23: share 0 is out of range: want 1 to 1000000"},
		{"customer mill-g share +1 queue 1 key " + keyA + " # Chen", `23: share must be an integer, found "+1"`},
		{"customer mill-h share 1 queue 1 key md5:00 # Chen", `37: the key must begin with "sha256:"`},
		{"customer mill-i share 1 queue 1 key sha256:00 # Chen", "37: the key must have 64 hexadecimal digits, not 2"},
		{"customer mill-j share 1 queue 1 key sha256:" + strings.Repeat("g", 64) + " # Chen", "37: the key has a character"},
		{"customer mill-k share 1 queue 1 key " + fmt.Sprintf("sha256:%x", emptySecretHash) + " # Chen", "37: the key is the hash of an empty secret"},
		{"datacentre a,b region taiwan in # Lin", `12: invalid name "a,b"`},
		{"datacentre tw-east region taiwan off # Lin", `34: want in or out, found "off"`},
		{"datacentre tw-west region taiwan in now # Lin", `37: unexpected "now"`},
		{"model draft input 1 output # Wu", "27: output must be an integer, found the end of the rule"},
		{"target t1 datacentre nowhere serves tag limit 2 cold 1 # Wu", `22: unknown data centre "nowhere"`},
		{"target t2 datacentre tw-north serves tag,sketch limit 2 cold 1 # Wu", `42: unknown model "sketch"`},
		{"target t3 datacentre tw-north serves tag,tag limit 2 cold 1 # Wu", `42: model "tag" is listed twice`},
		{"target t4 datacentre tw-north serves tag limit 2 cold 3 # Wu", "55: cold 3 is above limit 2"},
		{"target t5 datacentre tw-north service ledger limit 2 cold 1 # Wu", `39: unknown service "ledger"`},
		{"target tw-r1 datacentre tw-north serves tag limit 2 cold 1 # Wu", `8: target "tw-r1" is already defined on line 10`},
		{"target t6 datacentre tw-north serves tag limit 2 cold 1 fencing yes # Wu", `65: want checked or ignored, found "yes"`},
		{"call settle once cost 5 # Hsu", `6: call "settle" is not SERVICE.METHOD`},
		{"call regristry.settle once cost 5 # Hsu", `6: unknown service "regristry"`},
		{"call registry.settle repeatable cost 5 # Hsu", `6: call "registry.settle" is already defined on line 11`},
		{"order load-model tag on tw-e9 # Wu", `25: unknown target "tw-e9"`},
		{"order load-model tag on tw-e1 # Wu", `18: order "tag" is already defined on line 13`},
		{"order role decode on tw-e1 # Wu", `22: target "tw-e1" already has a role from line 14`},
		{"model caf\xe9 input 1 output 1 # Wu", "10: byte 0xe9 is not printable"},
	}
	text := validRules
	for _, test := range tests {
		text += test.line + "\r\n"
	}
	_, err := Parse([]byte(text))
	var faults *Errors
	if !errors.As(err, &faults) {
		t.Fatalf("Parse() error = %v, want *Errors", err)
	}
	found := make(map[int]string)
	for _, fault := range faults.List {
		found[fault.Line] += fmt.Sprintf("%d: %s", fault.Column, fault.Message)
	}
	first := strings.Count(validRules, "\n") + 1
	for i, test := range tests {
		// Errors of unknown services are left out while any target or call is invalid.
		// The next loop checks them.
		if strings.Contains(test.want, "unknown service") {
			continue
		}
		if got := found[first+i]; !strings.HasPrefix(got, test.want) {
			t.Errorf("%s\n got %q\nwant %q", test.line, got, test.want)
		}
	}
	for i, test := range tests {
		_, err := Parse([]byte(validRules + test.line))
		if !errors.As(err, &faults) || len(faults.List) != 1 {
			t.Errorf("%s: Parse() error = %v, want exactly one error", test.line, err)
			continue
		}
		if got := fmt.Sprintf("%d: %s", faults.List[0].Column, faults.List[0].Message); !strings.HasPrefix(got, test.want) {
			t.Errorf("%d %s alone: got %q, want %q", i, test.line, got, test.want)
		}
	}
}
