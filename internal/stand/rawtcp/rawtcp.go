// Package rawtcp serves connections byte by byte, for stand-ins that must answer as
// no HTTP server would.
package rawtcp

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Each hands each connection of l to f, in a goroutine of its own, and closes it
// after. It returns once l is closed.
func Each(l net.Listener, f func(c net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			f(c)
		}()
	}
}

// Requests returns a function that reads requests from a connection, each whole, and
// has f answer them.
func Requests(f func(c net.Conn, r *http.Request)) func(c net.Conn) {
	return func(c net.Conn) {
		for b := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			f(c, r)
		}
	}
}
