package oper

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/observe/status"
)

// maxReportBytes is the maximum size of the report of one instance.
const maxReportBytes = 16 << 20

// errIncomplete is the result of the command fleet if an instance gave no report.
var errIncomplete = errors.New("not all instances answered")

// reports holds the reports that were fetched from the instances of a deployment.
type reports struct {
	// list holds the reports, sorted by the role and name of the instance.
	list []status.Report
	// failed holds, by address, the errors of the instances that gave no report.
	failed map[string]error
}

// showFleet prints the state of a deployment, fetched from the metrics addresses of its
// instances.
func showFleet(ctx context.Context, t *terminal, args []string) error {
	f := newFlags(t, "fleet", "", "fleet -addr 10.1.0.4:9464,10.1.0.5:9464")
	var addresses addressList
	f.Var(&addresses, "addr", "metrics addresses of all instances, `host:port,...`")
	wait := f.Duration("wait", defaultWait, "the longest time to wait")
	if err := f.parse(args, 0); err != nil {
		return err
	}
	if len(addresses) == 0 {
		fmt.Fprintln(t.Errors, "no addresses")
		f.Usage()
		return errUsage
	}
	ctx, cancel := context.WithTimeout(ctx, *wait)
	defer cancel()
	r := fetchReports(ctx, addresses)
	if err := printFleet(t.Output, r, time.Now()); err != nil {
		return err
	}
	if len(r.failed) > 0 {
		return errIncomplete
	}
	return nil
}

// fetchReports fetches the reports of the instances at addresses in parallel.
func fetchReports(ctx context.Context, addresses []string) reports {
	type answer struct {
		address string
		report  status.Report
		err     error
	}
	answers := make(chan answer)
	for _, address := range addresses {
		go func() {
			r, err := fetchReport(ctx, address)
			answers <- answer{address: address, report: r, err: err}
		}()
	}
	all := reports{failed: map[string]error{}}
	for range addresses {
		a := <-answers
		if a.err != nil {
			all.failed[a.address] = a.err
			continue
		}
		all.list = append(all.list, a.report)
	}
	slices.SortFunc(all.list, func(a, b status.Report) int {
		return strings.Compare(a.Role+" "+a.Instance, b.Role+" "+b.Instance)
	})
	return all
}

// fetchReport fetches the report of one instance.
func fetchReport(ctx context.Context, address string) (status.Report, error) {
	var r status.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+status.Path, nil)
	if err != nil {
		return r, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.Errorf("status %s", resp.Status)
	}
	return r, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r), "decode report")
}

// printFleet prints a table of the instances and one of the backend servers.
func printFleet(output io.Writer, all reports, now time.Time) error {
	w := newTable(output)
	row(w, "INSTANCE", "ROLE", "DATA CENTRE", "VERSION", "INDEX", "FOLLOWS", "HEARD", "TERM", "MEMBERS")
	for _, r := range all.list {
		row(w, r.Instance, r.Role, orDash(r.DataCentre), r.Version, r.Index, orDash(r.Source), age(now, r.Heard), orDash(term(r)), len(r.Members))
	}
	for _, address := range slices.Sorted(maps.Keys(all.failed)) {
		row(w, address, "no answer: "+all.failed[address].Error())
	}
	fmt.Fprintln(w)
	row(w, "BACKEND SERVER", "SERVICE", "DATA CENTRE", "ADDRESS", "INSTANCES THAT SEE IT AS")
	servers := statesByServer(all.list)
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		s := servers[name]
		row(w, s.Name, s.Service, s.DataCentre, s.Address, s.states())
	}
	return w.Flush()
}

// age returns how long before now the time at was, or "-" if at is zero.
func age(now, at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}

// term returns the term in r, or "" if r has none.
func term(r status.Report) string {
	if r.Term == 0 {
		return ""
	}
	return fmt.Sprint(r.Term)
}

// serverStates is a backend server with its states at all instances.
type serverStates struct {
	status.Server
	// counts is the number of instances that report each state.
	counts map[status.State]int
}

// statesByServer returns the states of the backend servers by their name.
func statesByServer(list []status.Report) map[string]*serverStates {
	servers := map[string]*serverStates{}
	for _, r := range list {
		for _, s := range r.Servers {
			v := servers[s.Name]
			if v == nil {
				v = &serverStates{Server: s, counts: map[status.State]int{}}
				servers[s.Name] = v
			}
			v.counts[s.State]++
		}
	}
	return servers
}

// states returns one line with each state and the number of instances that report it.
func (s *serverStates) states() string {
	var parts []string
	for _, v := range slices.Sorted(maps.Keys(s.counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", v, s.counts[v]))
	}
	return strings.Join(parts, ", ")
}
