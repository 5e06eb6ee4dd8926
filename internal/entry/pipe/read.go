package pipe

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/entry/drain"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxReadAheadBytes is how many bytes the reader may buffer beyond the header of a
	// request, which also count towards the header limit.
	maxReadAheadBytes = readBufferBytes
)

var (
	errHeaderTooLarge = errors.New("request header exceeds the size limit")
	errBodyTooLarge   = errors.New("request body exceeds the size limit")
	errStopping       = errors.New("instance stops before the request is read")
)

// refusal is the error of a request that is refused before its body is read.
type refusal struct {
	request *http.Request
	answer  Answer
}

// Error implements error.
func (r *refusal) Error() string { return "request refused with status " + statusLine(r.answer.Status) }

// source is a reader that keeps its last error. The line reader of net/textproto drops the
// error behind a part of a line.
type source struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (n int, err error) {
	n, s.err = s.Reader.Read(b)
	return n, s.err
}

// readRequest reads one request with its body.
func (c *conn) readRequest(ctx context.Context) (*Request, error) {
	l := c.server.Limits()
	c.limited.N = math.MaxInt64
	if err := c.awaitRequest(l.IdleTimeout); err != nil {
		return nil, err
	}
	if !c.beginReading() {
		return nil, errStopping
	}
	c.setReadTimeout(l.HeaderTimeout)
	c.limited.N = int64(l.HeaderBytes) + maxReadAheadBytes
	r, err := http.ReadRequest(c.reader)
	switch {
	case err == nil:
	case c.limited.N <= 0:
		return nil, errHeaderTooLarge
	case c.source.err != nil:
		return nil, errors.Wrap(c.source.err, "read request")
	default:
		return nil, errors.Wrap(withoutContent(err), "read request")
	}
	headerBytes := int64(l.HeaderBytes) + maxReadAheadBytes - c.limited.N
	c.limited.N = math.MaxInt64
	if a, refused := c.server.Handler.Refuse(r); refused {
		return nil, &refusal{request: r, answer: a}
	}
	return c.readContent(ctx, r, headerBytes, l)
}

// withoutContent returns err, of a parser, without what it quotes of the request: a line of the
// header may contain a key.
func withoutContent(err error) error {
	text := err.Error()
	if i := strings.IndexAny(text, ":\""); i >= 0 {
		text = text[:i]
	}
	return errors.New(strings.TrimSpace(text))
}

// awaitRequest waits for the first byte of a request, for up to the idle timeout. A
// connection with pending requests is never idle.
func (c *conn) awaitRequest(idle time.Duration) error {
	for {
		c.setReadTimeout(idle)
		_, err := c.reader.Peek(1)
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && c.hasPending() {
			continue
		}
		if err != nil {
			return io.EOF
		}
		return nil
	}
}

// beginReading records that a request is being read. It reports false if no further one
// may be.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.used = true, true
	return !c.stopped
}

// stopReading refuses the request that is being read, and each further one.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.reading {
		_ = c.SetReadDeadline(time.Now()) // fails only if the connection is closed
	}
}

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// setReadTimeout bounds the next reads, unless stopReading has ended them. Zero means no
// timeout.
func (c *conn) setReadTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped && c.reading {
		return
	}
	var t time.Time
	if d > 0 {
		t = time.Now().Add(d)
	}
	_ = c.SetReadDeadline(t) // fails only if the connection is closed, and then the next read fails too
}

// answerError answers a request that could not be read, and closes the connection behind
// it. It returns false if the caller has disconnected, and true otherwise.
func (c *conn) answerError(err error, exchanges chan<- exchange) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return false
	}
	r, a := c.errorAnswer(err)
	c.server.Logger.Info("request not read; answering it and closing the connection", "status", a.Status, "error", err, "caller", c.RemoteAddr())
	x := exchange{request: &Request{Request: r, Read: time.Now()}, answer: make(chan Answer, 1)}
	if !c.admit(x.request, true) {
		return true
	}
	x.answer <- a
	exchanges <- x
	return true
}

// errorAnswer returns the answer to a request that could not be read because of err, and
// that request as far as it is known.
func (c *conn) errorAnswer(err error) (*http.Request, Answer) {
	var refused *refusal
	if errors.As(err, &refused) {
		a := refused.answer
		a.Close = true
		return refused.request, a
	}
	var netErr net.Error
	a := Answer{Status: http.StatusBadRequest, Close: true}
	switch {
	case errors.Is(err, errStopping), c.isStopped():
		a.Status = http.StatusServiceUnavailable
		a.Header = http.Header{"Retry-After": {strconv.FormatFloat(drain.RetryAfter.Seconds(), 'f', 3, 64)}}
	case errors.Is(err, errHeaderTooLarge):
		a.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		a.Status = http.StatusRequestEntityTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		a.Status = http.StatusRequestTimeout
	}
	return &http.Request{Method: http.MethodGet}, a
}
