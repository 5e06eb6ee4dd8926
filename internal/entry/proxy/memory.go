package proxy

import (
	"net/http"
	"sync"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// RefuseForMemory implements pipe.Handler. Without a known key, more memory would be of no use.
func (p *Proxy) RefuseForMemory(r *http.Request) pipe.Answer {
	if a, refused := p.refuseUnauthorized(r); refused {
		return a
	}
	id := r.Header.Get(p.Fields.RequestID)
	p.Logger.Info("no memory for the request; answering with 503 and closing the connection", "request", id, "host", r.Host,
		"path", r.URL.EscapedPath(), "bytes", r.ContentLength)
	return p.refuse("", id, noMemory())
}

func noMemory() *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonMemory, retryAfterNoMemory, "other requests and answers take all of the memory for them")
}

// sizes knows the routes with long answers.
type sizes struct {
	mu sync.Mutex
	// long is true for each route whose last answer was long.
	long map[string]bool
}

// record records the length of an answer of the route, in bytes.
func (s *sizes) record(route string, length int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if length <= bound.ShortBytes {
		delete(s.long, route)
		return
	}
	if s.long == nil {
		s.long = map[string]bool{}
	}
	s.long[route] = true
}

// isLong reports whether the next answer of the route is expected to be long.
func (s *sizes) isLong(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.long[route]
}

// forget drops the routes that are not in names.
func (s *sizes) forget(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.long {
		if !names[n] {
			delete(s.long, n)
		}
	}
}
