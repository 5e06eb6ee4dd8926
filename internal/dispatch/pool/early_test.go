package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/snipefront/snipefront/internal/dispatch/pool"
)

// socketBuffer is the size of the socket buffers of an upload, in bytes, so that a long one can't be
// written before the backend server reads it.
const socketBuffer = 64 << 10

// early is a backend server that answers before it has read the whole upload.
type early struct {
	// text is what it answers, and upload the length of the body of the request, in bytes, of which it
	// reads the first bytes before that.
	text          string
	upload, reads int
	// end ends the connection. It may wait until the client has heard the head of the answer.
	end func(c *net.TCPConn, heard <-chan struct{})
	// resets is true if end resets the connection. The client then reads the body of the answer only
	// after its write has taken the error of the reset.
	resets bool
}

// do runs an exchange with a backend server that is as b says. It reports whether the exchange used
// all of its time.
func (b early) do(t *testing.T) (e *pool.Exchange, reusable, timedOut bool, err error) {
	t.Helper()
	heard := make(chan struct{})
	address := serve(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(socketBuffer)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, int64(b.reads))
		_, _ = io.WriteString(c, b.text)
		b.end(c.(*net.TCPConn), heard)
	})
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	c, err := (&pool.Pool{}).Get(ctx, address, false)
	if err != nil {
		t.Fatal(err)
	}
	control(t, c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer) })
	e = &pool.Exchange{
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nId: 1\r\nContent-Length: %d\r\n\r\n", b.upload), Body: make([]byte, b.upload),
		Method: http.MethodPost, IDField: "Id", ID: "1", MaxBytes: 100,
		Heard: func(int, http.Header) {
			close(heard)
			if b.resets {
				await(t, c, func(events int16) bool { return events&(unix.POLLHUP|unix.POLLERR) == unix.POLLHUP })
			}
		},
	}
	reusable, err = e.Do(ctx, c)
	return e, reusable, ctx.Err() != nil, err
}

// control calls f with the socket of c.
func control(t *testing.T, c *pool.Conn, f func(fd int) error) {
	t.Helper()
	raw, err := any(c.Conn).(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
}

// await waits until the socket of c has the wanted events: POLLHUP once it was reset, beside POLLERR
// until a call has taken the error of that.
func await(t *testing.T, c *pool.Conn, wanted func(events int16) bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < endlessTimeout/2; time.Sleep(time.Millisecond) {
		ready := false
		control(t, c, func(fd int) error {
			fds := []unix.PollFd{{Fd: int32(fd)}}
			_, err := unix.Poll(fds, 0)
			ready = wanted(fds[0].Revents)
			return err
		})
		if ready {
			return
		}
	}
	t.Error("the connection was not reset in time")
}

// reset resets the connection once the channel is closed.
func reset(c *net.TCPConn, when <-chan struct{}) {
	<-when
	_ = c.SetLinger(0)
	_ = c.Close()
}

// endSending ends the sending side of the connection.
func endSending(c *net.TCPConn, _ <-chan struct{}) { _ = c.CloseWrite() }

// endSendingAndRead ends the sending side and reads the rest of the upload.
func endSendingAndRead(c *net.TCPConn, heard <-chan struct{}) {
	endSending(c, heard)
	readOn(c, heard)
}

// endSendingAndReset ends the sending side and then resets the connection.
func endSendingAndReset(c *net.TCPConn, heard <-chan struct{}) {
	endSending(c, heard)
	reset(c, heard)
}

// readOn reads until the other end closes the connection.
func readOn(c *net.TCPConn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, c) }

// stall reads nothing until the other end has had the time to take the answer, and keeps the connection.
func stall(_ *net.TCPConn, heard <-chan struct{}) {
	<-heard
	time.Sleep(endlessTimeout)
}

// TestAnswerResetDuringUploadIsNone guards against the part of an answer that is taken for a whole one:
// a backend server answers a long upload early and without a length, and resets the connection while the
// upload is still being written, so that the write takes the error and the read sees only an end.
func TestAnswerResetDuringUploadIsNone(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 500 Oops", "HTTP/1.0 200 OK"} {
		for _, upload := range []int{1 << 20, 8 << 20} {
			for _, reads := range []int{0, upload / 2} {
				t.Run(fmt.Sprintf("%s, %d of %d bytes read", line, reads, upload), func(t *testing.T) {
					t.Parallel()
					b := early{text: line + "\r\nId: 1\r\n\r\npart", upload: upload, reads: reads, end: reset, resets: true}
					e, reusable, timedOut, err := b.do(t)
					if err == nil {
						t.Errorf("a part is taken as the answer %d with %q", e.Response.StatusCode, e.Answer)
					}
					if reusable || timedOut {
						t.Errorf("used again: %v, ended at the deadline: %v, with %v; want an error at once", reusable, timedOut, err)
					}
				})
			}
		}
	}
}

// TestAnswerResetBeforeRequestIsNone guards against the same on a new connection that a backend server
// resets before a short request is written to it. A load probe has no id that tells such an answer from its own.
func TestAnswerResetBeforeRequestIsNone(t *testing.T) {
	for name, field := range map[string]string{"request": "Id", "load probe": ""} {
		t.Run(name, func(t *testing.T) {
			_, err := exchangeAfterReset(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", field)
			if err == nil {
				t.Error("a part is taken as the answer")
			}
		})
	}
}

// exchangeAfterReset runs an exchange on a new connection on which a backend server has written text and
// that it has reset since.
func exchangeAfterReset(t *testing.T, text, idField string) (*pool.Exchange, error) {
	t.Helper()
	opened := make(chan struct{})
	address := serve(t, func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		reset(c.(*net.TCPConn), opened)
	})
	c, err := (&pool.Pool{}).Get(t.Context(), address, false)
	if err != nil {
		t.Fatal(err)
	}
	close(opened)
	await(t, c, func(events int16) bool { return events&unix.POLLHUP != 0 })
	e := &pool.Exchange{
		Head: []byte("GET / HTTP/1.1\r\nHost: x\r\nId: 1\r\n\r\n"), Method: http.MethodGet, IDField: idField, ID: "1", MaxBytes: 100,
	}
	_, err = e.Do(t.Context(), c)
	return e, err
}

// TestEarlyAnswerIsTaken guards against a whole answer that is lost, or held until the deadline, since a
// sound backend server gave it before it had read the upload.
func TestEarlyAnswerIsTaken(t *testing.T) {
	const (
		upload = 1 << 20
		toEnd  = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok"
		old    = "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok"
		length = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
		chunks = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	)
	for name, b := range map[string]early{
		"no length, upload read on":           {text: toEnd, end: endSendingAndRead},
		"no length, upload not read":          {text: toEnd, end: func(c *net.TCPConn, h <-chan struct{}) { endSending(c, h); stall(c, h) }},
		"no length, half of the upload read":  {text: toEnd, reads: upload / 2, end: endSendingAndRead},
		"no length, reset behind its end":     {text: toEnd, end: endSendingAndReset, resets: true},
		"no length, upload read, then closed": {text: toEnd, reads: upload, end: func(*net.TCPConn, <-chan struct{}) {}},
		"HTTP/1.0, upload not read":           {text: old, end: func(c *net.TCPConn, h <-chan struct{}) { endSending(c, h); stall(c, h) }},
		"HTTP/1.0, reset behind its end":      {text: old, end: endSendingAndReset, resets: true},
		"length, upload read on":              {text: length, end: readOn},
		"length, upload not read":             {text: length, end: stall},
		"length, reset behind it":             {text: length, end: reset, resets: true},
		"length, closed behind it":            {text: length, end: func(_ *net.TCPConn, h <-chan struct{}) { <-h }, resets: true},
		"chunks, upload read on":              {text: chunks, end: readOn},
		"chunks, upload not read":             {text: chunks, end: stall},
		"chunks, reset behind the last one":   {text: chunks, end: reset, resets: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b.upload = upload
			e, _, timedOut, err := b.do(t)
			if err != nil || timedOut || string(e.Answer) != "ok" {
				t.Errorf("got %q, %v, ended at the deadline: %v; want the answer at once", e.Answer, err, timedOut)
			}
		})
	}
	t.Run("length, reset before the request", func(t *testing.T) {
		if e, err := exchangeAfterReset(t, length, "Id"); err != nil || string(e.Answer) != "ok" {
			t.Errorf("got %q, %v, want the answer", e.Answer, err)
		}
	})
}
