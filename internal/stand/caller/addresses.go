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
	addressesPath    = "/.well-known/snipefront/addresses"
	askTimeout       = time.Second
	askAgain         = 100 * time.Millisecond
	shortestLifetime = 50 * time.Millisecond
	mostAnswerBytes  = 1 << 20
)

// address is one entry of an instance's answer.
type address struct {
	Address    string
	DataCentre string
	Weight     float64
}

// directory keeps the addresses to use for one service.
type directory struct {
	service string
	seeds   []string
	client  *http.Client
	// current is nil before the first answer.
	current atomic.Pointer[[]address]
	// ready is closed after the first answer.
	ready chan struct{}
	// hurry asks for a new answer before the end of the lifetime.
	hurry chan struct{}
}

func (r *run) newDirectory(service string) *directory {
	d := &directory{
		service: service,
		seeds:   r.caller.Seeds,
		client:  r.asker,
		ready:   make(chan struct{}),
		hurry:   make(chan struct{}, 1),
	}
	if len(r.caller.Direct) == 0 {
		return d
	}
	d.seeds = nil
	fixed := make([]address, 0, len(r.caller.Direct))
	for _, a := range r.caller.Direct {
		fixed = append(fixed, address{Address: a, Weight: 1})
	}
	d.current.Store(&fixed)
	close(d.ready)
	return d
}

// startAsking keeps the directories up to date until ctx ends. The returned
// channel gets one value from each at its end.
func (r *run) startAsking(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{}, len(r.streams))
	for _, s := range r.streams {
		go func() {
			r.keep(ctx, s.addresses)
			ended <- struct{}{}
		}()
	}
	return ended
}

// awaitAddresses returns once each service has addresses.
func (r *run) awaitAddresses(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstAnswerTimeout)
	defer cancel()
	for _, s := range r.streams {
		select {
		case <-s.addresses.ready:
		case <-ctx.Done():
			return errors.Errorf("no addresses for service %q from %v", s.Name, r.caller.Seeds)
		}
	}
	return nil
}

// keep asks for addresses at the end of each lifetime.
func (r *run) keep(ctx context.Context, d *directory) {
	if len(d.seeds) == 0 {
		return
	}
	failing := false
	for ctx.Err() == nil {
		lifetime, err := d.refresh(ctx)
		if err != nil {
			lifetime = askAgain
		}
		if err != nil && !failing && ctx.Err() == nil {
			r.log.Warn("no addresses", "service", d.service, "error", err.Error())
		}
		failing = err != nil
		t := time.NewTimer(max(lifetime, shortestLifetime))
		select {
		case <-t.C:
		case <-d.hurry:
			sleepUntil(ctx, time.Now().Add(shortestLifetime))
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// refresh asks the seeds and then the addresses of the last answer, until one
// gives an answer with addresses.
func (d *directory) refresh(ctx context.Context) (time.Duration, error) {
	var last error
	for _, a := range d.sources() {
		lifetime, err := d.ask(ctx, a)
		if err == nil {
			return lifetime, nil
		}
		last = err
	}
	return 0, last
}

func (d *directory) sources() []string {
	all := slices.Clone(d.seeds)
	if c := d.current.Load(); c != nil {
		for _, a := range *c {
			if !slices.Contains(all, a.Address) {
				all = append(all, a.Address)
			}
		}
	}
	return all
}

// ask asks one instance and keeps its answer.
func (d *directory) ask(ctx context.Context, instance string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	u := "http://" + instance + addressesPath + "?service=" + url.QueryEscape(d.service)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, errors.Wrap(err, "ask for addresses")
	}
	w, err := d.client.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, "ask for addresses")
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, mostAnswerBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read addresses")
	}
	if w.StatusCode != http.StatusOK {
		return 0, errors.Errorf("ask %s for addresses: status %d: %.200s", instance, w.StatusCode, b)
	}
	var answer struct {
		Addresses            []address
		LifetimeMilliseconds int64
		Revision             uint64
	}
	if err := json.Unmarshal(b, &answer); err != nil {
		return 0, errors.Wrap(err, "decode addresses")
	}
	if len(answer.Addresses) == 0 {
		return 0, errors.Errorf("%s has no addresses", instance)
	}
	first := d.current.Swap(&answer.Addresses) == nil
	if first {
		close(d.ready)
	}
	return time.Duration(answer.LifetimeMilliseconds) * time.Millisecond, nil
}

// pick chooses an address by weight from those not in failed. The number random
// is uniform in [0, 1). It returns false where all have failed.
func (d *directory) pick(failed []string, random float64) (string, bool) {
	var left []address
	total := 0.0
	for _, a := range *d.current.Load() {
		if !slices.Contains(failed, a.Address) {
			left = append(left, a)
			total += max(a.Weight, 0)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	if total == 0 {
		return left[int(random*float64(len(left)))].Address, true
	}
	point := random * total
	for _, a := range left {
		point -= max(a.Weight, 0)
		if point < 0 {
			return a.Address, true
		}
	}
	return left[len(left)-1].Address, true
}

// askSoon asks for a new answer without waiting for the end of the lifetime.
func (d *directory) askSoon() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}
