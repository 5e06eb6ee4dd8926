package pipe

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/heads"
)

// writeAnswers writes the answers in the order of exchanges until one of them closes
// the connection, or a write fails. It waits for the remaining answers without writing
// them.
func (c *conn) writeAnswers(ctx context.Context, exchanges <-chan exchange) {
	open := true
	for x := range exchanges {
		a := <-x.answer
		if open {
			open = c.writeAnswer(ctx, x.request, a)
		} else {
			c.server.unanswered(x.request, net.ErrClosed)
		}
		if c.finish() && open {
			c.linger()
			open = false
		}
	}
}

// writeAnswer writes one answer and reports whether the connection is still open. In place of an
// answer that would be none in HTTP, it writes the status 502, which promises nothing.
func (c *conn) writeAnswer(ctx context.Context, r *Request, a Answer) bool {
	if err := heads.CheckFinal(a.Status, a.Header); err != nil {
		c.server.Logger.Error("answer can't be written; answering with 502", "error", err, "caller", c.RemoteAddr())
		a = Answer{Status: http.StatusBadGateway, Close: a.Close}
	}
	body := a.Body
	if r.Method == http.MethodHead {
		body = nil
	}
	next := func(sent, left int) int { return c.server.Shaper.Next(ctx, sent, left) }
	if err := c.write(formatHead(r.Request, a, c.isLast(a.Close)), body, next); err != nil {
		c.server.unanswered(r, err)
		c.Close()
		return false
	}
	return true
}

// errSlowCaller is the error of an answer whose caller takes long for it while others wait
// for the memory.
var errSlowCaller = errors.New("caller reads too slowly while other answers wait for memory")

// write writes the head and the body of an answer. It fails if the caller takes no further
// part of it in time or, while other answers wait for memory, not all of it. next returns the
// length of the next part, of which the given numbers of bytes were sent and are left.
func (c *conn) write(head, body []byte, next func(sent, left int) int) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	isLong := len(body) > bound.ShortBytes
	begun := time.Now()
	b := net.Buffers{head}
	for sent := 0; ; {
		if isLong && time.Since(begun) > c.server.writeTimeout() && c.server.Answers.Scarce() {
			return errSlowCaller
		}
		n := next(sent, min(len(body), writeChunkBytes))
		if n > 0 {
			b = append(b, body[:n])
		}
		_ = c.SetWriteDeadline(time.Now().Add(c.server.writeTimeout())) // fails only if the connection is closed
		if _, err := b.WriteTo(c.Conn); err != nil {
			return err
		}
		body = body[n:]
		sent += n
		if len(body) == 0 {
			return nil
		}
	}
}

// whole makes write send all that is left at once.
func whole(_, left int) int { return left }

// askForBody tells the caller to send the body of a request, between two answers.
func (c *conn) askForBody() error {
	if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil, whole); err != nil {
		return errors.Wrap(net.ErrClosed, "ask for the body")
	}
	return nil
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

// statusLine returns the code and the text of a status, as in "404 Not Found".
func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	return strconv.Itoa(status) + " " + text
}

func writeLength(b *bytes.Buffer, n int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(n))
	b.WriteString("\r\n")
}
