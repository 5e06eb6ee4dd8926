package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// crashTime is the time after which a crashed server is back.
	crashTime      = 2 * time.Second
	serversPerZone = 2
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
	// got is what arrived, for a server of a soak.
	got content
	// broke is true if the server itself broke off, and aborted if its caller did.
	broke, aborted bool
	// until is when the server stopped to work on it, or zero.
	until time.Time
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
	born    atomic.Int64
	http    atomic.Pointer[http.Server]
	// down is true from a crash until the next start.
	down atomic.Bool
	// trouble is what a soak has done to the server, or nil.
	trouble *trouble

	// hidesLoad is true if the server does not tell its load.
	hidesLoad bool

	running, waiting atomic.Int64
	slot             chan struct{}
	// coldUntil is when the server is warm again.
	coldUntil atomic.Pointer[time.Time]

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
				address: p.address(100+n, serverPort), slot: make(chan struct{}, l.slots), hidesLoad: l.hidesLoad,
				trouble: l.trouble(),
			}
			s.born.Store(1_700_000_000_000)
			if err := s.listen(ctx); err != nil {
				return nil, err
			}
			go s.beat(ctx)
			list = append(list, s)
		}
	}
	return list, nil
}

// listen starts to serve at the address of s, until ctx ends or s crashes.
func (s *server) listen(ctx context.Context) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	if s.trouble != nil {
		l = wireListener{Listener: l, s: s}
	}
	h := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second, ConnContext: withWire}
	s.http.Store(h)
	go func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.p.rec.line("server %s: %v", s.name, err)
		}
	}()
	context.AfterFunc(ctx, func() { h.Close() })
	return nil
}

// crash closes all connections of s. It is back after crashTime as a new incarnation, cold.
func (s *server) crash(ctx context.Context) {
	if !s.down.CompareAndSwap(false, true) {
		return
	}
	s.p.rec.line("server %s: crashes", s.name)
	s.end(ctx, crashTime)
}

// end closes all connections of s, which is down. It is back after the given time as a new
// incarnation, cold.
func (s *server) end(ctx context.Context, after time.Duration) {
	s.http.Load().Close()
	time.AfterFunc(after, func() {
		until := time.Now().Add(warmUp)
		s.coldUntil.Store(&until)
		s.born.Add(1)
		if err := s.listen(ctx); err != nil {
			s.p.rec.line("server %s: %v", s.name, err)
		}
		s.trouble.restart()
		s.down.Store(false)
	})
}

// beat sends heartbeats until ctx ends.
func (s *server) beat(ctx context.Context) {
	controls := s.p.controls()
	next, own := 0, ""
	for seq := 1; ctx.Err() == nil; seq++ {
		for s.down.Load() && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		body := fmt.Sprintf(`{"address":%q,"born":%d,"information":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"warmupRemainingS":%.3f}}`,
			s.address, s.born.Load(), s.service, s.zone, s.slots, s.trouble.state(), seq, s.coldFor().Seconds())
		for range len(controls) + 1 {
			to := own
			if to == "" {
				to = controls[next%len(controls)]
			}
			named, err := s.heartbeat(ctx, to, body)
			if err == nil {
				own = named
				s.trouble.acknowledge(body)
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
	if !s.hidesLoad {
		w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots))
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.name)
		if left := s.coldFor(); left > 0 {
			w.Header().Set("Warmup-Remaining", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.name {
		w.Header().Set("Instance-Id", s.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.trouble != nil {
		s.serveTroubled(w, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr) // the server sets it
	a := s.arrive(id, from)
	if s.isOverwhelmed() {
		s.crash(context.WithoutCancel(r.Context()))
		return
	}
	w.Header().Set("Attempt-Id", id)
	if !s.enter(w, r) {
		return
	}
	defer s.leave()
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

// enter waits for a slot. It refuses r if the queue is full, and reports whether s may run it.
func (s *server) enter(w http.ResponseWriter, r *http.Request) bool {
	if s.waiting.Load() >= queueLength {
		refuse(w)
		return false
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slot <- struct{}{}:
		s.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

// leave frees the slot that enter took.
func (s *server) leave() {
	s.running.Add(-1)
	<-s.slot
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// coldFor returns how long the server stays cold.
func (s *server) coldFor() time.Duration {
	until := s.coldUntil.Load()
	if until == nil {
		return 0
	}
	return max(0, time.Until(*until))
}

// isOverwhelmed reports whether s is cold and has got crashRequests within a second.
func (s *server) isOverwhelmed() bool {
	if s.coldFor() == 0 {
		return false
	}
	from := time.Now().Add(-time.Second)
	if began := s.coldUntil.Load().Add(-warmUp); began.After(from) {
		from = began
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i].at.After(from); i-- {
		n++
	}
	return n >= crashRequests
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
