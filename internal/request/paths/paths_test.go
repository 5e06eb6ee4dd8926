package paths_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/paths"
)

func routing(routes ...snipefront.Route) *snipefront.Routing {
	return &snipefront.Routing{Services: map[string]snipefront.Profile{"a": {}, "b": {}}, Routes: routes}
}

func route(name, host, prefix string) snipefront.Route {
	return snipefront.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Goal: time.Second, Attempts: 1,
		Split: []snipefront.Share{{Service: "a", Weight: 1}},
	}
}

// TestFindsTheLongestPrefix shows which route a request has.
func TestFindsTheLongestPrefix(t *testing.T) {
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
		n, ok := table.Find(c.host, c.path)
		if ok != (c.want != "") || ok && n.Name != c.want {
			t.Errorf("%s%s has route %+v, want %q", c.host, c.path, n, c.want)
		}
	}
}

// TestRefusesInvalidRoutes shows what no configuration may hold.
func TestRefusesInvalidRoutes(t *testing.T) {
	change := func(f func(n *snipefront.Route)) *snipefront.Routing {
		n := route("r", "x.example", "/p/")
		f(&n)
		return routing(n)
	}
	for name, r := range map[string]*snipefront.Routing{
		"unknown service": change(func(n *snipefront.Route) { n.Split = []snipefront.Share{{Service: "c", Weight: 1}} }),
		"bare prefix":     change(func(n *snipefront.Route) { n.Prefix = "p/" }),
		"open prefix":     change(func(n *snipefront.Route) { n.Prefix = "/p" }),
		"goal far above":  change(func(n *snipefront.Route) { n.Goal = n.Timeout + time.Minute }),
		"no timeout":      change(func(n *snipefront.Route) { n.Timeout = 0 }),
		"no weight":       change(func(n *snipefront.Route) { n.Split = []snipefront.Share{{Service: "a"}} }),
		"negative weight": change(func(n *snipefront.Route) { n.Split = []snipefront.Share{{Service: "a", Weight: -1}} }),
		"no service":      change(func(n *snipefront.Route) { n.Split = nil }),
		"no attempt":      change(func(n *snipefront.Route) { n.Attempts = 0 }),
		"same place":      routing(route("r", "x.example", "/p/"), route("s", "x.example", "/p/")),
	} {
		_, err := paths.NewTable(r)
		var p *paths.Problem
		if !errors.As(err, &p) || p.Route == "" {
			t.Errorf("%s: the error is %v", name, err)
		}
	}
}

// TestSplitFollowsTheWeights shows that each run of requests is near its weights.
func TestSplitFollowsTheWeights(t *testing.T) {
	n := route("r", "x.example", "/p/")
	n.Split = []snipefront.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	var s paths.Splitter
	got := map[string]int{}
	for i := range 100 {
		got[s.Next(&n)]++
		if i%10 == 9 && got["b"] != (i+1)/10 {
			t.Errorf("after %d requests b has %d", i+1, got["b"])
		}
	}
}
