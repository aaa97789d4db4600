package catalog_test

import (
	"reflect"
	"testing"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/fleet"
)

func sample() *catalog.Catalog {
	return catalog.New(catalog.Config{
		Version: 7,
		Routes: []catalog.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "root", Host: "b.example", Prefix: "/"},
		},
		Customers: []catalog.Customer{{ID: "c", Keys: []string{"k1", "k2"}}},
	})
}

func TestRouteTakesLongestPrefixOfHost(t *testing.T) {
	c := sample()
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.Example:80", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/xy/1", ""},
		{"b.example", "/anything/at/all", "root"},
		{"c.example", "/x/1", ""},
		{"a.example", "", ""},
	} {
		r, ok := c.Route(test.host, test.path)
		if ok != (test.want != "") || ok && r.Name != test.want {
			t.Errorf("Route(%q, %q) = %v, want %q", test.host, test.path, r, test.want)
		}
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	r := catalog.Route{Services: []catalog.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"}}}
	counts := map[fleet.ServiceID]int{}
	for i := range uint64(1000) {
		id, ok := r.Service(i)
		if !ok {
			t.Fatal("Service returned no service")
		}
		counts[id]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("counts = %v, want 900 and 100", counts)
	}
	if _, ok := (&catalog.Route{}).Service(1); ok {
		t.Error("a route without services returned a service")
	}
}

func TestAllowedRegionsIntersect(t *testing.T) {
	regions, unrestricted := catalog.AllowedRegions([]fleet.RegionID{"n", "s"}, []fleet.RegionID{"s", "c"})
	if unrestricted || !reflect.DeepEqual(regions, []fleet.RegionID{"s"}) {
		t.Errorf("AllowedRegions = %v, %v, want only s", regions, unrestricted)
	}
	if regions, unrestricted = catalog.AllowedRegions([]fleet.RegionID{"n"}, []fleet.RegionID{"s"}); unrestricted || len(regions) != 0 {
		t.Errorf("disjoint lists allow %v, %v", regions, unrestricted)
	}
	if _, unrestricted = catalog.AllowedRegions(nil, nil); !unrestricted {
		t.Error("two empty lists restrict the regions")
	}
}
