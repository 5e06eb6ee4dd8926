package pool

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/heads"
)

const (
	// maxHeadBytes bounds the head of an answer, together with those of the interim answers
	// before it, in bytes.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the interim answers (status 1xx) before an answer.
	maxInterim = 8
	// headTimeout is the time in which a head must be complete after its first byte. A
	// backend server sends it in one piece.
	headTimeout = 500 * time.Millisecond
	// answerPrefix is what each answer begins with.
	answerPrefix = "HTTP/1."
)

// Errors of a head.
var (
	ErrNoAnswer    = errors.New("bytes that are no answer")
	ErrHeadTooBig  = errors.New("head of the answer over the size limit")
	ErrHeadTooSlow = errors.New("head of the answer not complete in time")
)

// headLimit is a reader that reads at most left bytes from r while left is not negative.
type headLimit struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *headLimit) Read(b []byte) (int, error) {
	switch {
	case l.left < 0:
		return l.r.Read(b)
	case l.left == 0:
		return 0, ErrHeadTooBig
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

// readHead reads the head of the next answer with a status of 200 or more.
func (e *Exchange) readHead(c *Conn) (*http.Response, error) {
	c.limit.left = maxHeadBytes
	defer func() { c.limit.left = -1 }()
	for range maxInterim + 1 {
		resp, err := e.readOneHead(c)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, ErrHeadTooBig
}

// readOneHead waits for the first byte of an answer, which may take long, and reads the
// head, which may not.
func (e *Exchange) readOneHead(c *Conn) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, headError(err)
	}
	e.Begun = true
	timer := time.AfterFunc(headTimeout, func() { _ = c.SetReadDeadline(time.Now()) })
	defer timer.Stop()
	for n := 1; n <= len(answerPrefix); n++ {
		b, err := c.reader.Peek(n)
		if err != nil {
			return nil, headError(err)
		}
		if string(b) != answerPrefix[:n] {
			return nil, ErrNoAnswer
		}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: e.Method})
	if err != nil {
		return nil, headError(err)
	}
	if !timer.Stop() {
		// The deadline is set, or will be soon.
		return nil, ErrHeadTooSlow
	}
	if err := heads.Check(resp.StatusCode, resp.Header); err != nil {
		return nil, headError(err)
	}
	return resp, nil
}

// headError returns the error of a head that could not be read.
func headError(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return errors.WithMessage(ErrClosed, err.Error())
	case errors.As(err, &timeout) && timeout.Timeout():
		return ErrHeadTooSlow
	}
	return errors.Wrap(err, "read answer")
}
