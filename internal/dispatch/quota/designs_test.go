package quota_test

import (
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/bucket"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

// design decides which requests of the instances reach a backend server with a limit.
type design interface {
	// setView gives an instance a view of the instances.
	setView(now time.Time, i int, view snipefront.Epoch)
	// restart replaces the process of an instance.
	restart(now time.Time, i int)
	// take reports whether instance i may send a request.
	take(now time.Time, i int) bool
}

// senders is the design of package quota.
type senders struct {
	limit     float64
	instances snipefront.Epoch
	quotas    []*quota.Quota
}

func newSenders(limit float64, all snipefront.Epoch) design {
	s := &senders{limit: limit, instances: all, quotas: make([]*quota.Quota, len(all.Instances))}
	for i := range s.quotas {
		s.restart(time.Time{}, i)
	}
	return s
}

func (s *senders) restart(now time.Time, i int) {
	s.quotas[i] = &quota.Quota{}
	s.quotas[i].Learn(now, named(s.limit), quota.Answer)
}

func (s *senders) setView(now time.Time, i int, view snipefront.Epoch) {
	s.quotas[i].SetPart(now, quota.Part(s.limit, view, s.instances.Instances[i], snipefront.Cell{Service: server, DataCentre: "dc0"}))
}

func (s *senders) take(now time.Time, i int) bool { return s.quotas[i].Take(now, 0) }

// equalParts gives each instance an equal part, and lets it save up one request.
type equalParts struct {
	limit   float64
	parts   []float64
	buckets []bucket.Bucket
}

func newEqualParts(limit float64, all snipefront.Epoch) design {
	return &equalParts{limit: limit, parts: make([]float64, len(all.Instances)), buckets: make([]bucket.Bucket, len(all.Instances))}
}

func (e *equalParts) restart(_ time.Time, i int) { e.buckets[i] = bucket.Bucket{} }

func (e *equalParts) setView(_ time.Time, i int, view snipefront.Epoch) {
	e.parts[i] = e.limit / float64(len(view.Instances))
}

func (e *equalParts) take(now time.Time, i int) bool { return e.buckets[i].Take(now, e.parts[i], 1) }

// permits has each request ask one instance, the owner, for a permit. The owner is the
// first instance in the view of the one that asks. One that is cut off reaches no other.
type permits struct {
	limit   float64
	views   []snipefront.Epoch
	cutOff  map[string]bool
	buckets map[string]*bucket.Bucket
	names   []string
}

func newPermits(limit float64, all snipefront.Epoch) design {
	p := &permits{limit: limit, views: make([]snipefront.Epoch, len(all.Instances)), cutOff: map[string]bool{}, buckets: map[string]*bucket.Bucket{}}
	for _, n := range all.Instances {
		p.names = append(p.names, n.Name)
		p.buckets[n.Name] = &bucket.Bucket{}
	}
	return p
}

func (p *permits) restart(_ time.Time, i int) { p.buckets[p.names[i]] = &bucket.Bucket{} }

func (p *permits) setView(_ time.Time, i int, view snipefront.Epoch) { p.views[i] = view }

func (p *permits) take(now time.Time, i int) bool {
	owner := p.views[i].Instances[0].Name
	if owner != p.names[i] && (p.cutOff[owner] || p.cutOff[p.names[i]]) {
		return false
	}
	return p.buckets[owner].Take(now, p.limit, 2)
}
