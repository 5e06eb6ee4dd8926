// Package paths checks a routing configuration and finds the route of a request by
// its host and the longest prefix of its path.
package paths

import (
	"fmt"
	"strings"
	"time"

	"github.com/snipefront/snipefront"
)

// goalSlack is how far the goal of a route may lie above its timeout.
const goalSlack = time.Minute

// Problem is a mistake in a configuration.
type Problem struct {
	// Route and Service name where it is. Either may be empty.
	Route   string
	Service string
	Text    string
}

// Error returns where the mistake is and what is wrong.
func (p *Problem) Error() string {
	if p.Route != "" {
		return fmt.Sprintf("route %q: %s", p.Route, p.Text)
	}
	return fmt.Sprintf("service %q: %s", p.Service, p.Text)
}

// Table finds routes. It is never changed after it is made.
type Table struct {
	Routing *snipefront.Routing
	hosts   map[string]map[string]*snipefront.Route
}

// NewTable returns the table of r, or a *Problem.
func NewTable(r *snipefront.Routing) (*Table, error) {
	t := &Table{Routing: r, hosts: map[string]map[string]*snipefront.Route{}}
	for i := range r.Routes {
		if err := t.add(&r.Routes[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Names returns the names of the routes.
func (t *Table) Names() map[string]bool {
	names := make(map[string]bool, len(t.Routing.Routes))
	for i := range t.Routing.Routes {
		names[t.Routing.Routes[i].Name] = true
	}
	return names
}

func (t *Table) add(n *snipefront.Route) error {
	if p := check(t.Routing, n); p != "" {
		return &Problem{Route: n.Name, Text: p}
	}
	h := t.hosts[n.Host]
	if h == nil {
		h = map[string]*snipefront.Route{}
		t.hosts[n.Host] = h
	}
	if _, ok := h[n.Prefix]; ok {
		return &Problem{Route: n.Name, Text: fmt.Sprintf("another route has host %q and prefix %q", n.Host, n.Prefix)}
	}
	h[n.Prefix] = n
	return nil
}

// check returns what is wrong with n, or nothing.
func check(r *snipefront.Routing, n *snipefront.Route) string {
	switch {
	case n.Host == "":
		return "no host"
	case !strings.HasPrefix(n.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not begin with a slash", n.Prefix)
	case !strings.HasSuffix(n.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not end with a slash", n.Prefix)
	case n.Timeout <= 0:
		return "timeout is not positive"
	case n.Goal >= n.Timeout+goalSlack:
		return fmt.Sprintf("goal %v is far above the timeout %v", n.Goal, n.Timeout)
	case n.Attempts < 1:
		return "less than one attempt"
	case len(n.Split) == 0:
		return "no service"
	}
	total := 0.0
	for _, s := range n.Split {
		if _, ok := r.Services[s.Service]; !ok {
			return fmt.Sprintf("service %q is not configured", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Sprintf("negative weight for service %q", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return "all weights are zero"
	}
	return ""
}

// Find returns the route of a host, with or without a port, and a path.
func (t *Table) Find(host, path string) (*snipefront.Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	h := t.hosts[strings.ToLower(host)]
	if h == nil {
		return nil, false
	}
	for i := len(path); i > 0; {
		i = strings.LastIndexByte(path[:i], '/')
		if i < 0 {
			return nil, false
		}
		if n, ok := h[path[:i+1]]; ok {
			return n, true
		}
	}
	return nil, false
}
