package rawtcp

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// EarlyAnswers returns a function for Serve that answers each request before it reads the body of the
// request, with the text that f returns, and resets the connection after it if reset is true.
func EarlyAnswers(f func(r *http.Request) (text string, reset bool)) func(c net.Conn) {
	return func(c net.Conn) {
		for b := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			text, reset := f(r)
			_, _ = io.WriteString(c, text)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
}

// ResetAtOnce returns a function for Serve that writes text before it has read anything, and resets the
// connection.
func ResetAtOnce(text string) func(c net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}
