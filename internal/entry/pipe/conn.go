package pipe

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer = 4 << 10
	// headerSlack is what the reader may take in beyond the header of a request.
	headerSlack = readBuffer
)

// conn is the connection of a caller.
type conn struct {
	net.Conn
	server  *Server
	limited io.LimitedReader
	reader  *bufio.Reader

	mu sync.Mutex
	// pending is the number of requests that are not answered.
	pending int
	// last is true once the next answer ends the connection. No request is taken
	// after that, so that the caller may send it again elsewhere.
	last bool
}

// turn is the place of one request in the order of answers.
type turn struct {
	request *http.Request
	answer  chan Answer
}

var (
	errHeaderTooLarge = errors.New("header over the size limit")
	errBodyTooLarge   = errors.New("body over the size limit")
)

// serve serves the connection until it ends, which the end of ctx does not bring
// about by itself.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.Close()
	c.limited = io.LimitedReader{R: c.Conn}
	c.reader = bufio.NewReaderSize(&c.limited, readBuffer)
	turns := make(chan turn, maxPipelined)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(turns)
	}()
	if c.read(ctx, turns) {
		// The caller is still there: take in what it sends until the last answer is out.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	cancel()
	close(turns)
	<-written
}

// read reads requests and has them handled. It returns false once the caller is
// gone, and true once an answer that is due ends the connection.
func (c *conn) read(ctx context.Context, turns chan<- turn) bool {
	for {
		r, err := c.next()
		if err != nil {
			return c.refuse(err, turns)
		}
		if !c.admit(r.Close) {
			return true
		}
		t := turn{request: r.Request, answer: make(chan Answer, 1)}
		go func() { t.answer <- c.server.Handler.Handle(ctx, r) }()
		turns <- t
		if r.Close {
			return true
		}
	}
}

// admit counts a request, unless the connection is about to end. Where last is
// true, none is admitted after it.
func (c *conn) admit(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last {
		return false
	}
	c.last = last
	c.pending++
	return true
}

// finish counts an answer and returns whether it is the last of the connection.
func (c *conn) finish(ends bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && (ends || c.server.closing.Load()) {
		c.last = true
	}
	return c.last && c.pending == 0
}

// idle closes the connection where it has no request, and returns whether it did.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return false
	}
	c.last = true
	c.Close()
	return true
}

// next reads one request whole.
func (c *conn) next() (*Request, error) {
	l := c.server.Limits()
	c.limited.N = math.MaxInt64
	if err := c.await(l.IdleTimeout); err != nil {
		return nil, err
	}
	c.deadline(l.HeaderTimeout)
	c.limited.N = int64(l.HeaderBytes) + headerSlack
	h, err := http.ReadRequest(c.reader)
	if err != nil && c.limited.N <= 0 {
		return nil, errHeaderTooLarge
	}
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	c.limited.N = math.MaxInt64
	if h.ContentLength > l.BodyBytes {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(h.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, io.EOF
		}
	}
	c.deadline(l.IdleTimeout)
	var body bytes.Buffer
	n, err := body.ReadFrom(io.LimitReader(h.Body, l.BodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if n > l.BodyBytes {
		return nil, errBodyTooLarge
	}
	c.deadline(0)
	return &Request{Request: h, Content: body.Bytes(), Read: time.Now()}, nil
}

// await waits for the first byte of a request. A connection with requests in
// flight is never idle.
func (c *conn) await(idle time.Duration) error {
	for {
		c.deadline(idle)
		_, err := c.reader.Peek(1)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() && c.busy() {
			continue
		}
		if err != nil {
			return io.EOF
		}
		return nil
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// deadline bounds the next reads. Zero sets no bound.
func (c *conn) deadline(d time.Duration) {
	var t time.Time
	if d > 0 {
		t = time.Now().Add(d)
	}
	_ = c.SetReadDeadline(t) // fails only where the connection is closed, which the read tells
}

// refuse answers a request that could not be read. It returns false where the
// caller is gone.
func (c *conn) refuse(err error, turns chan<- turn) bool {
	var late net.Error
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &late) && late.Timeout():
		status = http.StatusRequestTimeout
	}
	c.server.Logger.Info("request not read", "status", status, "error", err, "caller", c.RemoteAddr())
	t := turn{request: &http.Request{Method: http.MethodGet}, answer: make(chan Answer, 1)}
	if !c.admit(true) {
		return true
	}
	t.answer <- Answer{Status: status, Close: true}
	turns <- t
	return true
}

// write sends the answers in the order of turns until one ends the connection.
func (c *conn) write(turns <-chan turn) {
	open := true
	for t := range turns {
		a := <-t.answer
		if open {
			open = c.answer(t.request, a)
		}
	}
}

// answer sends one answer and returns whether another may follow.
func (c *conn) answer(r *http.Request, a Answer) bool {
	last := c.finish(a.Close)
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // as in deadline
	b := net.Buffers{head(r, a, last)}
	if len(a.Body) > 0 && r.Method != http.MethodHead {
		b = append(b, a.Body)
	}
	if _, err := b.WriteTo(c.Conn); err != nil {
		c.Close()
		return false
	}
	if last {
		c.linger()
	}
	return !last
}

// linger ends the connection so that the caller gets the last answer: what it
// sends meanwhile is read and dropped by the reading goroutine until lingerTime.
func (c *conn) linger() {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = h.CloseWrite() // as in deadline
	}
	time.AfterFunc(lingerTime, func() { c.Close() })
}

// head returns the status line and header of a.
func head(r *http.Request, a Answer, last bool) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(statusLine(a.Status))
	b.WriteString("\r\n")
	_ = a.Header.Write(&b) // a Buffer takes all
	bodiless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if !bodiless && r.Method != http.MethodHead {
		writeLength(&b, len(a.Body))
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
