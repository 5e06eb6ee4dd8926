package pipe

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxReadAheadBytes is how many bytes the reader may buffer beyond the header of a
	// request, which also count towards the header limit.
	maxReadAheadBytes = readBufferBytes
)

// conn is a connection from a caller.
type conn struct {
	net.Conn
	server *Server
	// source keeps the error of the last read.
	source source
	// limited bounds the bytes that reader reads for the header of a request.
	limited io.LimitedReader
	reader  *bufio.Reader

	mu sync.Mutex
	// pending holds the requests whose answer is not written completely, in the order
	// of their answers.
	pending []*Request
	// closing is true once the connection closes after the pending answers. No
	// further request is admitted, so the caller can safely resend it elsewhere.
	closing bool
	// reading is true from the first byte of a request until it is admitted or dropped.
	reading bool
	// stopped is true once no further request is read.
	stopped bool
}

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

// exchange is a request with a channel for its answer.
type exchange struct {
	request *Request
	answer  chan Answer
}

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

// serve serves the connection until it is closed. The end of ctx cancels its requests.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.Close()
	c.source.Reader = c.Conn
	c.limited = io.LimitedReader{R: &c.source}
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	exchanges := make(chan exchange, maxPipelined)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeAnswers(exchanges)
	}()
	if c.readRequests(ctx, exchanges) {
		// The caller is still connected: read and drop what it sends until the last
		// answer is written and the connection is closed.
		c.setReadTimeout(0)
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	cancel()
	close(exchanges)
	<-writerDone
}

// readRequests reads requests and starts a goroutine to handle each. It returns false
// when the caller has disconnected, and true when a pending answer will close the
// connection.
func (c *conn) readRequests(ctx context.Context, exchanges chan<- exchange) bool {
	for {
		r, err := c.readRequest(ctx)
		if err != nil {
			return c.answerError(err, exchanges)
		}
		if !c.admit(r, r.Close) {
			c.server.release(r)
			return true
		}
		x := exchange{request: r, answer: make(chan Answer, 1)}
		go func() { x.answer <- c.server.handle(ctx, r) }()
		exchanges <- x
		if r.Close {
			return true
		}
	}
}

// admit makes r pending and reports whether it did. If last is true, no request is
// admitted after this one. None is admitted once the connection is closing, nor behind a
// pending one while the server drains: its caller sends it again elsewhere.
func (c *conn) admit(r *Request, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	draining := c.server.Draining()
	if draining && len(c.pending) > 0 {
		c.closing = true
	}
	if c.closing {
		return false
	}
	c.closing = last || draining
	c.pending = append(c.pending, r)
	return true
}

// isLast reports whether the answer that is written next is the last one of the
// connection. closes is the Close field of the answer.
func (c *conn) isLast(closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 1 && (closes || c.server.Draining()) {
		c.closing = true
	}
	return c.closing && len(c.pending) == 1
}

// finish removes the first pending request, whose answer has been written, or can't be
// any more. It reports whether the connection closes now.
func (c *conn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.release(c.pending[0])
	c.pending = c.pending[1:]
	return c.closing && len(c.pending) == 0
}

// unanswered returns the pending requests.
func (c *conn) unanswered() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.pending)
}

// closeIfIdle closes the connection if it has no pending request and none is being read,
// and reports whether it did. A connection that closes after its last answer does so by
// itself.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 || c.closing || c.reading {
		return false
	}
	c.closing = true
	c.Close()
	return true
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
		return nil, errors.Wrap(err, "read request")
	}
	headerBytes := int64(l.HeaderBytes) + maxReadAheadBytes - c.limited.N
	c.limited.N = math.MaxInt64
	if a, refused := c.server.Handler.Refuse(r); refused {
		return nil, &refusal{request: r, answer: a}
	}
	return c.readContent(ctx, r, headerBytes, l)
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
	c.reading = true
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
		a.Header = http.Header{"Retry-After": {stopRetryAfter}}
	case errors.Is(err, errHeaderTooLarge):
		a.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		a.Status = http.StatusRequestEntityTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		a.Status = http.StatusRequestTimeout
	}
	return &http.Request{Method: http.MethodGet}, a
}

// writeAnswers writes the answers in the order of exchanges until one of them closes
// the connection, or a write fails. It waits for the remaining answers without writing
// them.
func (c *conn) writeAnswers(exchanges <-chan exchange) {
	open := true
	for x := range exchanges {
		a := <-x.answer
		if open {
			open = c.writeAnswer(x.request, a)
		} else {
			c.server.unanswered(x.request, net.ErrClosed)
		}
		if c.finish() && open {
			c.linger()
			open = false
		}
	}
}

// writeAnswer writes one answer and reports whether the connection is still open.
func (c *conn) writeAnswer(r *Request, a Answer) bool {
	body := a.Body
	if r.Method == http.MethodHead {
		body = nil
	}
	if err := c.write(formatHead(r.Request, a, c.isLast(a.Close)), body); err != nil {
		c.server.unanswered(r, err)
		c.Close()
		return false
	}
	return true
}

// write writes the head and the body of an answer. It fails if the caller takes no further
// part of it in time.
func (c *conn) write(head, body []byte) error {
	b := net.Buffers{head}
	for {
		n := min(len(body), writeChunkBytes)
		if n > 0 {
			b = append(b, body[:n])
		}
		_ = c.SetWriteDeadline(time.Now().Add(c.server.writeTimeout())) // fails only if the connection is closed
		if _, err := b.WriteTo(c.Conn); err != nil {
			return err
		}
		body = body[n:]
		if len(body) == 0 {
			return nil
		}
	}
}

// linger closes the connection for writing, and after lingerTime entirely, unless the
// caller has closed it by then. Meanwhile the reading goroutine drops what it sends.
func (c *conn) linger() {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // fails only if the connection is closed
	}
	time.AfterFunc(lingerTime, func() { c.Close() })
}

// formatHead returns the status line and header of a as they are sent. last says that
// the connection is closed after a.
func formatHead(r *http.Request, a Answer, last bool) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(statusLine(a.Status))
	b.WriteString("\r\n")
	_ = a.Header.Write(&b) // writing to a Buffer never fails
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
