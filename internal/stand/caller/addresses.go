package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	addressesPath      = "/.well-known/snipefront/addresses"
	fetchTimeout       = time.Second
	fetchRetryDelay    = 100 * time.Millisecond
	minRefreshInterval = 50 * time.Millisecond
	maxBodyBytes       = 1 << 20
)

// address is one entry of the list of addresses that an instance returns.
type address struct {
	Address    string
	DataCentre string
	Weight     float64
}

// resolver keeps the addresses of one service, which it fetches from the instances.
type resolver struct {
	service string
	seeds   []string
	client  *http.Client
	// current is the last list that was fetched, or Caller.Direct. It is nil before the
	// first list.
	current atomic.Pointer[[]address]
	// ready is closed once current is set.
	ready chan struct{}
	// refreshNow requests a new list before the current one expires.
	refreshNow chan struct{}
}

func (r *run) newResolver(service string) *resolver {
	rs := &resolver{
		service:    service,
		seeds:      r.caller.Seeds,
		client:     r.addressClient,
		ready:      make(chan struct{}),
		refreshNow: make(chan struct{}, 1),
	}
	if len(r.caller.Direct) == 0 {
		return rs
	}
	rs.seeds = nil
	fixed := make([]address, 0, len(r.caller.Direct))
	for _, a := range r.caller.Direct {
		fixed = append(fixed, address{Address: a, Weight: 1})
	}
	rs.current.Store(&fixed)
	close(rs.ready)
	return rs
}

// startResolvers starts a goroutine for each service that refreshes its addresses
// until ctx is done. Each sends one value to the returned channel when it ends.
func (r *run) startResolvers(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{}, len(r.streams))
	for _, s := range r.streams {
		go func() {
			r.refreshUntilDone(ctx, s.resolver)
			ended <- struct{}{}
		}()
	}
	return ended
}

// awaitAddresses waits until each service has addresses. It returns an error after
// firstAddressesTimeout or when ctx is done.
func (r *run) awaitAddresses(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstAddressesTimeout)
	defer cancel()
	for _, s := range r.streams {
		select {
		case <-s.resolver.ready:
		case <-ctx.Done():
			return errors.Errorf("no addresses for service %q from %v", s.Name, r.caller.Seeds)
		}
	}
	return nil
}

// refreshUntilDone fetches the addresses at the start, whenever they expire and whenever
// requestRefresh is called, until ctx is done. It returns immediately if rs has no seeds.
func (r *run) refreshUntilDone(ctx context.Context, rs *resolver) {
	if len(rs.seeds) == 0 {
		return
	}
	failing := false
	for ctx.Err() == nil {
		lifetime, err := rs.refresh(ctx)
		if err != nil {
			lifetime = fetchRetryDelay
		}
		if err != nil && !failing && ctx.Err() == nil {
			r.log.Warn("could not fetch addresses; retrying", "service", rs.service, "error", err.Error())
		}
		failing = err != nil
		t := time.NewTimer(max(lifetime, minRefreshInterval))
		select {
		case <-t.C:
		case <-rs.refreshNow:
			sleepUntil(ctx, time.Now().Add(minRefreshInterval))
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// refresh fetches a list of addresses from the seeds or, if they fail, from the
// addresses in the current list. It returns the lifetime of the new list.
func (rs *resolver) refresh(ctx context.Context) (time.Duration, error) {
	var last error
	for _, a := range rs.sources() {
		lifetime, err := rs.fetch(ctx, a)
		if err == nil {
			return lifetime, nil
		}
		last = err
	}
	return 0, last
}

// sources returns the host:port of all instances to fetch addresses from, in order.
func (rs *resolver) sources() []string {
	all := slices.Clone(rs.seeds)
	if c := rs.current.Load(); c != nil {
		for _, a := range *c {
			if !slices.Contains(all, a.Address) {
				all = append(all, a.Address)
			}
		}
	}
	return all
}

// fetch fetches a list of addresses from one instance, makes it the current one and
// returns its lifetime.
func (rs *resolver) fetch(ctx context.Context, instance string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	u := "http://" + instance + addressesPath + "?service=" + url.QueryEscape(rs.service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, errors.Wrap(err, "fetch addresses")
	}
	resp, err := rs.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "fetch addresses")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read addresses")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("fetch addresses from %s: status %d: %.200s", instance, resp.StatusCode, b)
	}
	var list struct {
		Addresses            []address
		LifetimeMilliseconds int64
		Revision             uint64
	}
	if err := json.Unmarshal(b, &list); err != nil {
		return 0, errors.Wrap(err, "decode addresses")
	}
	if len(list.Addresses) == 0 {
		return 0, errors.Errorf("%s returned no addresses", instance)
	}
	first := rs.current.Swap(&list.Addresses) == nil
	if first {
		close(rs.ready)
	}
	return time.Duration(list.LifetimeMilliseconds) * time.Millisecond, nil
}

// pick picks an address that is not in tried, at random in proportion to the weights.
// The number random must be uniform in [0, 1). pick returns false if all addresses are
// in tried.
func (rs *resolver) pick(tried []string, random float64) (string, bool) {
	var untried []address
	total := 0.0
	for _, a := range *rs.current.Load() {
		if !slices.Contains(tried, a.Address) {
			untried = append(untried, a)
			total += max(a.Weight, 0)
		}
	}
	if len(untried) == 0 {
		return "", false
	}
	if total == 0 {
		return untried[int(random*float64(len(untried)))].Address, true
	}
	point := random * total
	for _, a := range untried {
		point -= max(a.Weight, 0)
		if point < 0 {
			return a.Address, true
		}
	}
	return untried[len(untried)-1].Address, true
}

// requestRefresh requests a new list of addresses before the current one expires.
func (rs *resolver) requestRefresh() {
	select {
	case rs.refreshNow <- struct{}{}:
	default:
	}
}
