package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	serversPerZone    = 2
	// queueLength is the number of requests that wait for a slot at a server.
	queueLength = 4
)

// arrival is a request at a server.
type arrival struct {
	id     string
	server *server
	// from is the address of the machine that sent it.
	from string
	at   time.Time
	// ran is true once the server has begun to work on it, and ended once it is done.
	ran, ended bool
}

// server is a sound backend server, as the users' pages describe it. It tells its load.
type server struct {
	p       *platform
	name    string
	zone    string
	service string
	address string
	slots   int
	work    time.Duration
	born    int64

	running, waiting atomic.Int64
	slot             chan struct{}

	mu       sync.Mutex
	arrivals []*arrival
}

// startServers starts serversPerZone servers of l in each zone. They run until ctx ends.
func (p *platform) startServers(ctx context.Context, l load) ([]*server, error) {
	var list []*server
	for z, zone := range p.zones {
		for i := range serversPerZone {
			n := z*serversPerZone + i
			s := &server{
				p: p, name: fmt.Sprintf("i-%s-%s-%d", l.service, zone, i), zone: zone, service: l.service, slots: l.slots, work: l.work,
				address: p.address(100+n, serverPort), born: 1_700_000_000_000 + int64(n), slot: make(chan struct{}, l.slots),
			}
			var c net.ListenConfig
			listener, err := c.Listen(ctx, "tcp", s.address)
			if err != nil {
				return nil, err
			}
			h := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
			go func() {
				if err := h.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					p.rec.line("server %s: %v", s.name, err)
				}
			}()
			context.AfterFunc(ctx, func() { h.Close() })
			go s.beat(ctx)
			list = append(list, s)
		}
	}
	return list, nil
}

// beat sends heartbeats until ctx ends.
func (s *server) beat(ctx context.Context) {
	controls := s.p.controls()
	next, own := 0, ""
	for seq := 1; ctx.Err() == nil; seq++ {
		body := fmt.Sprintf(`{"address":%q,"born":%d,"information":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"warmupRemainingS":0}}`,
			s.address, s.born, s.service, s.zone, s.slots, seq)
		for range len(controls) + 1 {
			to := own
			if to == "" {
				to = controls[next%len(controls)]
			}
			named, err := s.heartbeat(ctx, to, body)
			if err == nil {
				own = named
				break
			}
			own = ""
			next++
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat and returns the address that the answer names for the next.
func (s *server) heartbeat(ctx context.Context, to, body string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := newRequest(ctx, http.MethodPost, "http://"+to+"/v1/instances/"+s.name+"/heartbeat", body)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err != nil {
		return "", err
	}
	if resp.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d", resp.StatusCode)
	}
	var a struct {
		HeartbeatAddress string `json:"heartbeatAddress"`
	}
	return a.HeartbeatAddress, json.Unmarshal(text, &a)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.name)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.name {
		w.Header().Set("Instance-Id", s.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Attempt-Id")
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr) // the server sets it
	a := s.arrive(id, from)
	w.Header().Set("Attempt-Id", id)
	if s.waiting.Load() >= queueLength {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting.Add(1)
	select {
	case s.slot <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.slot
	}()
	s.update(a, func() { a.ran = true })
	s.p.rec.line("server %s (%s): runs %s from %s, body of %d bytes", s.name, s.zone, id, from, body)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.p.rec.line("server %s: the connection of %s was closed at work", s.name, id)
		return
	}
	s.update(a, func() { a.ended = true })
	w.Header().Set("Response-Signature", "sig."+id)
	fmt.Fprintf(w, "answer of %s to %s", s.name, id)
}

func (s *server) arrive(id, from string) *arrival {
	a := &arrival{id: id, server: s, from: from, at: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
	return a
}

func (s *server) update(_ *arrival, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// arrivalsOf returns copies of the arrivals at all servers, by request.
func arrivalsOf(servers []*server) map[string][]arrival {
	all := map[string][]arrival{}
	for _, s := range servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			all[a.id] = append(all[a.id], *a)
		}
		s.mu.Unlock()
	}
	return all
}
