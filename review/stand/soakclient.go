package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// The routes of a soak, the timeouts that all its configurations keep at least, and the time for which
// its clients wait.
const (
	bookHost    = "book.example"
	readHost    = "ledger.example"
	bookPrefix  = "/book/"
	readPrefix  = "/ledger/"
	bookTimeout = 4 * time.Second
	readTimeout = 5 * time.Second
	soakWait    = 6 * time.Second

	longWork   = 2200 * time.Millisecond
	mostAnswer = 3 << 20
	mostBody   = 400_000
	// mostHeadPace is the longest time before each half of a head. The configuration allows 3 s for a head.
	mostHeadPace = 1200 * time.Millisecond
	// bodyParts is the number of parts of a slow upload.
	bodyParts = 8
	// readPart is the number of bytes that a slow reader takes at once.
	readPart = 64 << 10
	// mostSends is how often a client sends a request.
	mostSends = 3
	// pipelineGap is the time between two requests of a pipelining client.
	pipelineGap = 150 * time.Millisecond
)

// answer is what a client of a soak found in an answer.
type answer struct {
	// wrong says what is wrong with it, or is empty.
	wrong      string
	signed     bool
	retryAfter time.Duration
}

// read reads and checks the answer to the request with the given id.
func (a *answer) read(id string, r request, resp *http.Response) error {
	body, err := readParts(resp.Body, r.readPace)
	if err != nil {
		return err
	}
	signature := resp.Header.Get("Response-Signature")
	a.signed = signature != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	other := resp.Header.Get("Attempt-Id")
	switch {
	case other != "" && other != id:
		a.wrong = "it belongs to " + other
	case resp.StatusCode/100 != 2:
		if a.signed {
			a.wrong = "a failure with the signature " + signature
		}
	case signature != "sig."+id:
		a.wrong = fmt.Sprintf("the signature is %q", signature)
	case string(body) != string(answerBody(id, r.size)):
		a.wrong = fmt.Sprintf("%d bytes of %d, or other ones", len(body), r.size)
	}
	return nil
}

// readParts reads a body, with the given time between its parts.
func readParts(body io.Reader, pace time.Duration) ([]byte, error) {
	if pace == 0 {
		return io.ReadAll(body)
	}
	var all []byte
	for {
		part, err := io.ReadAll(io.LimitReader(body, readPart))
		all = append(all, part...)
		if err != nil || len(part) == 0 {
			return all, err
		}
		time.Sleep(pace)
	}
}

// writeParts sends the head and the body of r in parts.
func (c *connection) writeParts(head string, r request) error {
	if r.chunked {
		head += "Transfer-Encoding: chunked\r\n"
	} else if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	head += "\r\n"
	if err := c.writeHead(head, r.headPace); err != nil {
		return err
	}
	for n := range bodyParts {
		part := r.body[n*len(r.body)/bodyParts : (n+1)*len(r.body)/bodyParts]
		if len(part) == 0 {
			continue
		}
		time.Sleep(r.pace / bodyParts)
		b := net.Buffers{part}
		if r.chunked {
			b = net.Buffers{fmt.Appendf(nil, "%x\r\n", len(part)), part, []byte("\r\n")}
		}
		if _, err := b.WriteTo(c.Conn); err != nil {
			return err
		}
	}
	if !r.chunked {
		return nil
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// writeHead sends a head in two parts, with the given time before each.
func (c *connection) writeHead(head string, pace time.Duration) error {
	for _, part := range []string{head[:len(head)/2], head[len(head)/2:]} {
		time.Sleep(pace)
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
	}
	return nil
}

// caller is a client of a soak.
type caller struct {
	p     *platform
	tries *attempts
	r     *rand.Rand
	zone  int
	// patient is true if it keeps an answer of the directory three times as long as that says, keeps if
	// it uses a connection until that ends, and pipes if it pipelines.
	patient, keeps, pipes bool
	// long is one in how many of its requests takes long.
	long int

	list   []string
	until  time.Time
	failed map[string]bool
	conn   *connection
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	c.failed = map[string]bool{}
	for ctx.Err() == nil {
		c.pause(ctx)
		if c.pipes {
			c.pipeline(ctx)
		} else {
			c.ask(ctx, c.draw())
		}
	}
	if c.conn != nil {
		c.conn.Close()
	}
}

// pause waits a moment, and a few seconds at times.
func (c *caller) pause(ctx context.Context) {
	d := draw(c.r, 300*time.Millisecond)
	if c.r.IntN(15) == 0 {
		d *= 12
	}
	rest(ctx, d)
}

// rest waits for d or until ctx ends.
func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// draw returns a request.
func (c *caller) draw() request {
	work := 10*time.Millisecond + draw(c.r, 890*time.Millisecond)
	if c.r.IntN(c.long) == 0 {
		work = longWork
	}
	q := request{host: bookHost, wait: soakWait, size: c.upTo(5_000, 300_000, mostAnswer)}
	if c.r.IntN(8) == 0 {
		q.readPace = draw(c.r, 100*time.Millisecond)
	}
	if c.pipes || c.r.IntN(2) == 0 {
		q.method, q.host, q.limit = http.MethodGet, readHost, readTimeout
		q.path = demandPath(readPrefix, work, q.size)
	} else {
		q.method, q.path, q.limit, q.unsafe = http.MethodPost, demandPath(bookPrefix, work, q.size), bookTimeout, true
		c.drawBody(&q)
	}
	if !c.pipes && c.r.IntN(10) == 0 {
		q.headPace = draw(c.r, mostHeadPace)
	}
	if !c.pipes && c.r.IntN(25) == 0 {
		q.leave = time.Millisecond + draw(c.r, time.Second)
	}
	return q
}

func (c *caller) drawBody(q *request) {
	q.body = make([]byte, c.upTo(2_000, 60_000, mostBody))
	for i := range q.body {
		q.body[i] = byte(i * (i>>8 + 7))
	}
	q.body = append(strconv.AppendUint(nil, c.r.Uint64(), 16), q.body...)
	q.chunked = c.r.IntN(3) == 0
	if c.r.IntN(6) == 0 {
		q.pace = draw(c.r, 2*time.Second)
	}
}

// upTo returns a size up to the first limit mostly, and up to the others at times.
func (c *caller) upTo(often, seldom, rarely int) int {
	switch n := c.r.IntN(20); {
	case n == 0:
		return c.r.IntN(rarely)
	case n < 4:
		return c.r.IntN(seldom)
	}
	return c.r.IntN(often)
}

// connect returns a new connection to an address that the directory names, or nil.
func (c *caller) connect(ctx context.Context) *connection {
	if time.Now().After(c.until) {
		if fresh, ttl := c.p.resolve(ctx, c.zone, bookHost); len(fresh) > 0 {
			if c.patient {
				ttl *= 3
			}
			c.list, c.until = fresh, time.Now().Add(ttl)
			clear(c.failed)
		}
	}
	var usable []string
	for _, v := range c.list {
		if !c.failed[v] {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	address := usable[c.r.IntN(len(usable))]
	conn, err := connect(ctx, address)
	if err != nil {
		c.failed[address] = true
		return nil
	}
	return conn
}

// ask sends q, and again as clients may, each time over a new connection.
func (c *caller) ask(ctx context.Context, q request) {
	end := time.Now().Add(q.wait)
	for range mostSends {
		conn := c.conn
		if c.conn = nil; conn == nil {
			conn = c.connect(ctx)
		}
		if conn == nil {
			continue
		}
		q.wait = time.Until(end)
		e, open := conn.send(c.p.rec, q)
		c.tries.add(e)
		pause, again := e.resend(end)
		if open && c.keeps && !again {
			c.conn = conn
		} else {
			conn.Close()
		}
		if !again {
			return
		}
		rest(ctx, pause)
	}
}

// resend reports whether a client may send the request once more before the given time, and after
// which pause.
func (e exchange) resend(end time.Time) (time.Duration, bool) {
	left := time.Until(end)
	if left < 100*time.Millisecond || e.left || e.status/100 == 2 {
		return 0, false
	}
	switch e.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return min(e.got.retryAfter, left/3), true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return 0, false
	}
	return 0, !e.asked.unsafe
}

// pipeline sends requests over one connection until that or ctx ends.
func (c *caller) pipeline(ctx context.Context) {
	conn := c.connect(ctx)
	if conn == nil {
		return
	}
	defer conn.Close()
	until, _ := ctx.Deadline()
	conn.pipeline(c.p.rec, c.tries, until, pipelineGap, c.draw)
}

// expected returns what a server must get of r.
func (r request) expected() content {
	return content{r.method, r.host, r.path, sha256.Sum256(r.body)}
}
