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
}

// exchange is a request with a channel for its answer.
type exchange struct {
	request *Request
	answer  chan Answer
}

var (
	errHeaderTooLarge = errors.New("request header exceeds the size limit")
	errBodyTooLarge   = errors.New("request body exceeds the size limit")
)

// serve serves the connection until it is closed. The end of ctx alone neither closes
// the connection nor cancels its requests.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.Close()
	c.limited = io.LimitedReader{R: c.Conn}
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

// admit makes r pending and reports whether it did. It does not if the connection is
// closing. If last is true, no request is admitted after this one.
func (c *conn) admit(r *Request, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.closing = last
	c.pending = append(c.pending, r)
	return true
}

// isLast reports whether the answer that is written next is the last one of the
// connection. closes is the Close field of the answer.
func (c *conn) isLast(closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 1 && (closes || c.server.draining.Load()) {
		c.closing = true
	}
	return c.closing && len(c.pending) == 1
}

// finish removes the first pending request, whose answer has been written, or can't be
// any more.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.release(c.pending[0])
	c.pending = c.pending[1:]
}

// unanswered returns the pending requests.
func (c *conn) unanswered() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.pending)
}

// closeIfIdle closes the connection if it has no pending request, and reports whether
// it did. A connection that closes after its last answer does so by itself.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 || c.closing {
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
	c.setReadTimeout(l.HeaderTimeout)
	c.limited.N = int64(l.HeaderBytes) + maxReadAheadBytes
	r, err := http.ReadRequest(c.reader)
	if err != nil && c.limited.N <= 0 {
		return nil, errHeaderTooLarge
	}
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	headerBytes := int64(l.HeaderBytes) + maxReadAheadBytes - c.limited.N
	c.limited.N = math.MaxInt64
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

func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// setReadTimeout bounds the next reads. Zero means no timeout.
func (c *conn) setReadTimeout(d time.Duration) {
	var t time.Time
	if d > 0 {
		t = time.Now().Add(d)
	}
	_ = c.SetReadDeadline(t) // fails only if the connection is closed, and then the next read fails too
}

// answerError answers a request that could not be read. It returns false if the caller
// has disconnected, and true otherwise.
func (c *conn) answerError(err error, exchanges chan<- exchange) bool {
	var netErr net.Error
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		status = http.StatusRequestTimeout
	}
	if refused := (*memoryError)(nil); errors.As(err, &refused) {
		return c.refuse(refused, exchanges)
	}
	c.server.Logger.Info("cannot read a request; answering with an error and closing the connection", "status", status, "error", err, "caller", c.RemoteAddr())
	x := exchange{request: &Request{Request: &http.Request{Method: http.MethodGet}, Read: time.Now()}, answer: make(chan Answer, 1)}
	if !c.admit(x.request, true) {
		return true
	}
	x.answer <- Answer{Status: status, Close: true}
	exchanges <- x
	return true
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
		c.finish()
	}
}

// writeAnswer writes one answer and reports whether another may follow.
func (c *conn) writeAnswer(r *Request, a Answer) bool {
	last := c.isLast(a.Close)
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed
	b := net.Buffers{formatHead(r.Request, a, last)}
	if len(a.Body) > 0 && r.Method != http.MethodHead {
		b = append(b, a.Body)
	}
	if _, err := b.WriteTo(c.Conn); err != nil {
		c.server.unanswered(r, err)
		c.Close()
		return false
	}
	if last {
		c.linger()
	}
	return !last
}

// linger closes the connection for writing, and after lingerTime entirely, so that the
// caller gets the last answer. Meanwhile the reading goroutine drops what it sends.
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
