package server

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// maxKeys bounds the idempotency keys and request IDs that a server records.
const maxKeys = 1 << 20

// Report holds the counts of a Server since its start.
type Report struct {
	// Runs counts the runs that began, including those that did not end.
	Runs int
	// Answered counts the runs that ended with an answer, also a truncated one.
	Answered int
	// Canceled counts the runs that were canceled by the client or timed out.
	Canceled int
	// Refused counts the requests that were refused before running.
	Refused int
	// Failed counts the requests that arrived while the server was down after an
	// overload failure.
	Failed int
	// Probes counts the health probes and load probes.
	Probes int
	// Double holds the keys that ran more than once on this server, sorted. See
	// KeyRuns.
	Double []string
	// Repeated counts the second and later runs of idempotent requests with the same
	// X-Request-Id, which hedges and retries cause.
	Repeated int
	// MostAtOnce is the highest number of requests in flight, including waiting
	// ones.
	MostAtOnce int
	// MostAtOnceCold is the highest number of requests in flight during a cold start.
	// It counts only requests admitted since the cold start began.
	MostAtOnceCold int
	// FellOver counts the overload failures.
	FellOver int
	// MostConnections is the highest number of open connections.
	MostConnections int
	// Disconnected counts the connections closed because they exceeded
	// Server.MostConnections.
	Disconnected int
	// Forgotten counts the runs whose keys were not recorded because the limit of
	// recorded keys was reached.
	Forgotten int
}

// KeyRuns is the number of runs that began for one key. The key of a request is its
// Idempotency-Key. Without one, a request whose method is not idempotent has its
// X-Request-Id as key, and others have none.
type KeyRuns struct {
	Key  string
	Runs int
}

// Report returns the counts so far.
func (s *Server) Report() Report {
	s.init()
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	s.runs.fill(&c)
	return c
}

// Keys returns the number of runs of each key, sorted by key.
func (s *Server) Keys() []KeyRuns {
	return s.runs.list()
}

// DuplicateKeys returns the keys that ran more than once, counted over all servers.
func DuplicateKeys(servers ...*Server) []string {
	total := make(map[string]int)
	for _, s := range servers {
		for _, k := range s.Keys() {
			total[k.Key] += k.Runs
		}
	}
	return duplicates(total)
}

func (s *Server) count(change func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// runCounts counts the runs of requests by key or ID. The zero value is empty.
type runCounts struct {
	mu        sync.Mutex
	total     int
	keys      map[string]int
	ids       map[string]int
	repeated  int
	forgotten int
}

// record counts the beginning of a run of r.
func (c *runCounts) record(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if c.keys == nil {
		c.keys = make(map[string]int)
		c.ids = make(map[string]int)
	}
	if len(c.keys)+len(c.ids) >= maxKeys {
		c.forgotten++
		return
	}
	key, id := r.Header.Get(headerIdempotencyKey), r.Header.Get(headerRequestID)
	if key == "" && !idempotent(r.Method) {
		key = id
	}
	if key != "" {
		c.keys[key]++
		return
	}
	if id == "" {
		return
	}
	if c.ids[id] > 0 {
		c.repeated++
	}
	c.ids[id]++
}

func (c *runCounts) fill(r *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Runs = c.total
	r.Repeated = c.repeated
	r.Forgotten = c.forgotten
	r.Double = duplicates(c.keys)
}

func (c *runCounts) list() []KeyRuns {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]KeyRuns, 0, len(c.keys))
	for k, n := range c.keys {
		all = append(all, KeyRuns{Key: k, Runs: n})
	}
	slices.SortFunc(all, func(a, b KeyRuns) int { return strings.Compare(a.Key, b.Key) })
	return all
}

func duplicates(runs map[string]int) []string {
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
