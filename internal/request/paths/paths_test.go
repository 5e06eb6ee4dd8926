package paths_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/paths"
)

func routing(routes ...snipefront.Route) *snipefront.Routing {
	return &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{"a": {}, "b": {}}, Routes: routes}
}

func route(name, host, prefix string) snipefront.Route {
	return snipefront.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Goal: time.Second, Attempts: 1,
		Split: []snipefront.ServiceWeight{{Service: "a", Weight: 1}},
	}
}

// TestFindLongestPrefix checks that Find ignores the case and port of the host, matches
// prefixes only at slashes and prefers the longest.
func TestFindLongestPrefix(t *testing.T) {
	table, err := paths.NewTable(routing(
		route("root", "x.example", "/"), route("p", "x.example", "/p/"), route("pq", "x.example", "/p/q/"), route("other", "y.example", "/p/"),
	))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/", "root"},
		{"x.example", "/p", "root"},
		{"x.example", "/p/", "p"},
		{"x.example", "/p/q", "p"},
		{"x.example", "/p/q/r/s", "pq"},
		{"X.Example:8080", "/p/qq/r", "p"},
		{"y.example", "/p/1", "other"},
		{"y.example", "/q/1", ""},
		{"z.example", "/p/1", ""},
		{"x.example", "", ""},
	} {
		rt, ok := table.Find(c.host, c.path)
		if ok != (c.want != "") || ok && rt.Name != c.want {
			t.Errorf("%s%s: got route %+v, want %q", c.host, c.path, rt, c.want)
		}
	}
}

// TestNewTableRejectsInvalidRoutes checks that a configuration with an invalid route is
// rejected and that the error names the route.
func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	change := func(f func(rt *snipefront.Route)) *snipefront.Routing {
		rt := route("r", "x.example", "/p/")
		f(&rt)
		return routing(rt)
	}
	for name, r := range map[string]*snipefront.Routing{
		"unknown service":            change(func(rt *snipefront.Route) { rt.Split = []snipefront.ServiceWeight{{Service: "c", Weight: 1}} }),
		"no leading slash":           change(func(rt *snipefront.Route) { rt.Prefix = "p/" }),
		"no trailing slash":          change(func(rt *snipefront.Route) { rt.Prefix = "/p" }),
		"goal far above the timeout": change(func(rt *snipefront.Route) { rt.Goal = rt.Timeout + time.Minute }),
		"no timeout":                 change(func(rt *snipefront.Route) { rt.Timeout = 0 }),
		"no weight":                  change(func(rt *snipefront.Route) { rt.Split = []snipefront.ServiceWeight{{Service: "a"}} }),
		"negative weight":            change(func(rt *snipefront.Route) { rt.Split = []snipefront.ServiceWeight{{Service: "a", Weight: -1}} }),
		"no service":                 change(func(rt *snipefront.Route) { rt.Split = nil }),
		"no attempt":                 change(func(rt *snipefront.Route) { rt.Attempts = 0 }),
		"same host and prefix":       routing(route("r", "x.example", "/p/"), route("s", "x.example", "/p/")),
	} {
		_, err := paths.NewTable(r)
		var p *paths.Problem
		if !errors.As(err, &p) || p.Route == "" {
			t.Errorf("%s: got error %v, want a *Problem with a route", name, err)
		}
	}
}

// TestSplitFollowsTheWeights checks that of any ten consecutive requests the split equals
// the weights.
func TestSplitFollowsTheWeights(t *testing.T) {
	rt := route("r", "x.example", "/p/")
	rt.Split = []snipefront.ServiceWeight{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	var s paths.Splitter
	got := map[string]int{}
	for i := range 100 {
		got[s.Next(&rt)]++
		if i%10 == 9 && got["b"] != (i+1)/10 {
			t.Errorf("after %d requests service b has %d, want one in ten", i+1, got["b"])
		}
	}
}
