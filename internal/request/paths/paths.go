// Package paths validates a routing configuration and finds the route of a request by
// its host and the longest matching prefix of its path, and a workspace by its key.
package paths

import (
	"fmt"
	"strings"
	"time"

	"github.com/snipefront/snipefront"
)

// goalSlack plus the timeout of a route is the exclusive upper bound of its latency goal.
const goalSlack = time.Minute

// Problem is an error in a routing configuration.
type Problem struct {
	// Route, Workspace and Service name what is at fault. One of them is set. A workspace
	// without a name is named by # and its position in the list, from 1.
	Route     string
	Workspace string
	Service   string
	// Text never contains a key.
	Text string
}

// Error returns the name of the route, or else of the workspace or the service, and the text.
func (p *Problem) Error() string {
	switch {
	case p.Route != "":
		return fmt.Sprintf("route %q: %s", p.Route, p.Text)
	case p.Workspace != "":
		return fmt.Sprintf("workspace %q: %s", p.Workspace, p.Text)
	}
	return fmt.Sprintf("service %q: %s", p.Service, p.Text)
}

// Table finds routes and workspaces. It is immutable.
type Table struct {
	Routing *snipefront.Routing
	// hosts holds the routes by host and prefix.
	hosts map[string]map[string]*snipefront.Route
	// workspaces holds the workspaces by the digests of their keys.
	workspaces map[snipefront.KeyDigest]*snipefront.Workspace
}

// NewTable returns the table of r. An error is a *Problem.
func NewTable(r *snipefront.Routing) (*Table, error) {
	t := &Table{Routing: r, hosts: map[string]map[string]*snipefront.Route{}}
	for i := range r.Routes {
		if err := t.add(&r.Routes[i]); err != nil {
			return nil, err
		}
	}
	if err := t.addWorkspaces(); err != nil {
		return nil, err
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

func (t *Table) add(rt *snipefront.Route) error {
	if p := check(t.Routing, rt); p != "" {
		return &Problem{Route: rt.Name, Text: p}
	}
	prefixes := t.hosts[rt.Host]
	if prefixes == nil {
		prefixes = map[string]*snipefront.Route{}
		t.hosts[rt.Host] = prefixes
	}
	if _, ok := prefixes[rt.Prefix]; ok {
		return &Problem{Route: rt.Name, Text: fmt.Sprintf("another route has host %q and prefix %q", rt.Host, rt.Prefix)}
	}
	prefixes[rt.Prefix] = rt
	return nil
}

// check returns what is wrong with rt, or an empty string.
func check(r *snipefront.Routing, rt *snipefront.Route) string {
	switch {
	case rt.Host == "":
		return "no host"
	case !strings.HasPrefix(rt.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not begin with a slash", rt.Prefix)
	case !strings.HasSuffix(rt.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not end with a slash", rt.Prefix)
	case rt.Timeout <= 0:
		return "timeout is not positive"
	case rt.Goal >= rt.Timeout+goalSlack:
		return fmt.Sprintf("goal %v is far above the timeout %v", rt.Goal, rt.Timeout)
	case rt.Attempts < 1:
		return "less than one attempt"
	case len(rt.Split) == 0:
		return "no service"
	}
	total := 0.0
	for _, s := range rt.Split {
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

// Find returns the route for a host, with or without a port, and an escaped path. It
// reports whether there is one.
func (t *Table) Find(host, path string) (*snipefront.Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		return nil, false
	}
	for i := len(path); i > 0; {
		i = strings.LastIndexByte(path[:i], '/')
		if i < 0 {
			return nil, false
		}
		if rt, ok := prefixes[path[:i+1]]; ok {
			return rt, true
		}
	}
	return nil, false
}
