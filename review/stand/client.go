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
	// began and sent are when the first and the last byte of the request were sent. sent is zero if
	// it was not sent whole.
	began, sent time.Time
	// status is that of the answer, or zero if the connection ended without a whole one.
	status int
	ended  time.Time
	err    error

	// asked is the request, and got what its answer held, for a client of a soak.
	asked request
	got   answer
	// left is true if the client gave up early, and piped if other requests were in flight.
	left, piped bool
}

// attempts collects the client attempts of a case.
type attempts struct {
	mu   sync.Mutex
	list []exchange
	// skipped holds the requests that were sent behind an answer that closed its connection.
	skipped []exchange
}

func (a *attempts) skip(list []exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.skipped = append(a.skipped, list...)
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

	// limit is the timeout of the route, which may run a request at most once if unsafe is true.
	// Only clients of a soak set it and what follows.
	limit  time.Duration
	unsafe bool
	// size is the number of bytes that the server is to answer, if the client checks them.
	size int
	// chunked is true if the body is sent in chunks, and pace the time over which its parts are sent.
	chunked bool
	pace    time.Duration
	// headPace is the time before each half of the head.
	headPace time.Duration
	// readPace is the time between the parts that a slow client reads.
	readPace time.Duration
	// leave is the time after which the client gives up, or zero.
	leave time.Duration
}

// send sends r on c and waits for the answer, until the deadline of r. It reports whether c
// may carry another request.
func (c *connection) send(rec *record, r request) (exchange, bool) {
	e := exchange{id: fmt.Sprintf("%016x", rand.Uint64()), kept: c.used, connected: true, asked: r, began: time.Now()}
	e.to, _, _ = net.SplitHostPort(c.RemoteAddr().String()) // an address of a connection is valid
	c.used = true
	deadline := time.Now().Add(r.wait)
	_ = c.SetDeadline(deadline) // fails only if the connection is closed
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n", r.method, r.path, r.host, e.id, r.wait.Milliseconds())
	gone := c.closeAfter(r.leave)
	if e.err = c.write(head, r); e.err != nil && r.limit == 0 {
		return e.finish(rec, r), false
	}
	if e.err == nil {
		e.sent = time.Now()
	}
	// An instance may answer before it has read a body, and close.
	closes, err := c.readAnswer(&e)
	if err != nil {
		e.err = err
	}
	if err == nil && r.limit > 0 && c.reader.Buffered() > 0 {
		e.got.wrong = "bytes follow the answer"
	}
	e.left = gone()
	return e.finish(rec, r), err == nil && !closes && !e.sent.IsZero()
}

// closeAfter closes c after d, unless that is zero. The function that it returns ends the wait and
// reports whether c was closed.
func (c *connection) closeAfter(d time.Duration) func() bool {
	if d == 0 {
		return func() bool { return false }
	}
	t := time.AfterFunc(d, func() { c.Close() })
	return func() bool { return !t.Stop() }
}

// write sends the head and the body of r.
func (c *connection) write(head string, r request) error {
	if r.chunked || r.pace > 0 || r.headPace > 0 {
		return c.writeParts(head, r)
	}
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	b := net.Buffers{[]byte(head + "\r\n"), r.body}
	_, err := b.WriteTo(c.Conn)
	return err
}

// readAnswer reads the answer of e and reports whether it closes the connection.
func (c *connection) readAnswer(e *exchange) (closes bool, err error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: e.asked.method})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if e.asked.limit > 0 {
		err = e.got.read(e.id, e.asked, resp)
	} else {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		return false, err
	}
	e.status = resp.StatusCode
	return resp.Close, nil
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
