// Package rawtcp serves raw TCP connections. Stand-in backend servers use it to send
// answers that package net/http would not send.
package rawtcp

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Serve accepts connections from l, calls f for each of them in its own goroutine, and
// closes the connection when f returns. Serve returns when l is closed.
func Serve(l net.Listener, f func(c net.Conn)) {
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

// HTTPHandler returns a function for Serve. It reads HTTP requests with their bodies
// from a connection and calls f to answer each of them.
func HTTPHandler(f func(c net.Conn, r *http.Request)) func(c net.Conn) {
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
