package server

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// mostKeys bounds the keys that a server remembers.
const mostKeys = 1 << 20

// Report is what a Server has seen since its start.
type Report struct {
	// Runs counts the runs that began, whether or not they ended.
	Runs int
	// Answered counts the runs that were answered.
	Answered int
	// Canceled counts the runs that their callers or their timeouts ended.
	Canceled int
	// Refused counts the requests that were refused before running.
	Refused int
	// Failed counts the requests that came while the server had fallen over.
	Failed int
	// Probes counts the requests for health and load.
	Probes int
	// Double holds, sorted, the keys that ran more than once. See KeyRuns.
	Double []string
	// Repeated counts the further runs of idempotent requests, told by their
	// X-Request-Id, as hedges and retries cause them.
	Repeated int
	// MostAtOnce is the most requests that were inside at once, waiting ones
	// included.
	MostAtOnce int
	// MostAtOnceCold is the same in cold start, counted since its beginning.
	MostAtOnceCold int
	// FellOver counts how often the server had more than it bears.
	FellOver int
	// MostConnections is the most connections that were open at once.
	MostConnections int
	// Disconnected counts the connections closed for being too many.
	Disconnected int
	// Forgotten counts the runs whose keys were not recorded for want of room.
	Forgotten int
}

// KeyRuns tells how often a request that may not be repeated began to run. The
// key is its Idempotency-Key, or without one the X-Request-Id of a request
// whose method is not idempotent.
type KeyRuns struct {
	Key  string
	Runs int
}

// Report returns what the server has seen so far.
func (s *Server) Report() Report {
	s.init()
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	s.runs.fill(&c)
	return c
}

// Keys returns the runs of each key, sorted by key.
func (s *Server) Keys() []KeyRuns {
	return s.runs.list()
}

// Double returns the keys that ran more than once on all servers together.
func Double(servers ...*Server) []string {
	total := make(map[string]int)
	for _, s := range servers {
		for _, k := range s.Keys() {
			total[k.Key] += k.Runs
		}
	}
	return doubles(total)
}

func (s *Server) count(change func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// ledger records which requests ran. The zero value is empty.
type ledger struct {
	mu        sync.Mutex
	total     int
	keys      map[string]int
	ids       map[string]int
	repeated  int
	forgotten int
}

// record counts the beginning of a run of r.
func (l *ledger) record(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if l.keys == nil {
		l.keys = make(map[string]int)
		l.ids = make(map[string]int)
	}
	if len(l.keys)+len(l.ids) >= mostKeys {
		l.forgotten++
		return
	}
	key, id := r.Header.Get(headerKey), r.Header.Get(headerRequestID)
	if key == "" && !idempotent(r.Method) {
		key = id
	}
	if key != "" {
		l.keys[key]++
		return
	}
	if id == "" {
		return
	}
	if l.ids[id] > 0 {
		l.repeated++
	}
	l.ids[id]++
}

func (l *ledger) fill(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Runs = l.total
	r.Repeated = l.repeated
	r.Forgotten = l.forgotten
	r.Double = doubles(l.keys)
}

func (l *ledger) list() []KeyRuns {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]KeyRuns, 0, len(l.keys))
	for k, n := range l.keys {
		all = append(all, KeyRuns{Key: k, Runs: n})
	}
	slices.SortFunc(all, func(a, b KeyRuns) int { return strings.Compare(a.Key, b.Key) })
	return all
}

func doubles(runs map[string]int) []string {
	keys := []string{}
	for k, n := range runs {
		if n > 1 {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
