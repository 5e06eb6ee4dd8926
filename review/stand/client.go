package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// dialTimeout is the time that a client allows a new connection.
const dialTimeout = time.Second

// exchange is one client attempt and what came of it.
type exchange struct {
	id string
	// to is the IP address of the machine.
	to string
	// kept is true if the connection had carried a request before.
	kept bool
	// connected is false if no connection was made.
	connected bool
	// sent is when the last byte of the request was sent.
	sent time.Time
	// status is that of the answer, or zero if the connection ended without a whole one.
	status int
	ended  time.Time
	err    error
}

// attempts collects the client attempts of a case.
type attempts struct {
	mu   sync.Mutex
	list []exchange
}

func (a *attempts) add(e exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, e)
}

func (a *attempts) all() []exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]exchange(nil), a.list...)
}

// connection is a client's connection to a frontend machine.
type connection struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

func connect(ctx context.Context, address string) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// request describes what a client sends.
type request struct {
	method, host, path string
	body               []byte
	// wait is how long the client waits for the answer.
	wait time.Duration
}

// send sends r on c and waits for the answer, until the deadline of r. It reports whether c
// may carry another request.
func (c *connection) send(rec *record, r request) (exchange, bool) {
	e := exchange{id: fmt.Sprintf("%016x", rand.Uint64()), kept: c.used, connected: true}
	e.to, _, _ = net.SplitHostPort(c.RemoteAddr().String()) // an address of a connection is valid
	c.used = true
	deadline := time.Now().Add(r.wait)
	_ = c.SetDeadline(deadline) // fails only if the connection is closed
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n", r.method, r.path, r.host, e.id, r.wait.Milliseconds())
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	b := net.Buffers{[]byte(head + "\r\n"), r.body}
	if _, e.err = b.WriteTo(c.Conn); e.err != nil {
		return e.finish(rec, r), false
	}
	e.sent = time.Now()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		e.err = err
		return e.finish(rec, r), false
	}
	defer resp.Body.Close()
	if _, e.err = io.Copy(io.Discard, resp.Body); e.err != nil {
		return e.finish(rec, r), false
	}
	e.status = resp.StatusCode
	return e.finish(rec, r), !resp.Close
}

func (e exchange) finish(rec *record, r request) exchange {
	e.ended = time.Now()
	rec.line("client: %s %s %s to %s, sent at %.3f: status %d, %v", r.method, r.path, e.id, e.to, rec.seconds(e.sent), e.status, e.err)
	return e
}

// resolve asks a directory for addresses, and returns them with the time for which they hold.
func (p *platform) resolve(ctx context.Context, zone int, host string) ([]string, time.Duration) {
	for i := range p.locates {
		x := p.locates[(zone+i)%len(p.locates)]
		list, ttl, err := p.resolveAt(ctx, x.ip, p.zones[zone], host)
		if err == nil && len(list) > 0 {
			return list, ttl
		}
	}
	return nil, 0
}

func (p *platform) resolveAt(ctx context.Context, ip, zone, host string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := newRequest(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/resolution?name=%s&region=r1&zone=%s", ip, directoryPort, host, zone), "")
	if err != nil {
		return nil, 0, err
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, 0, err
	}
	return a.Addresses, time.Duration(a.TTL * float64(time.Second)), nil
}

func newRequest(ctx context.Context, method, url, body string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err == nil && body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, err
}
