package rawtcp

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Whole is a complete answer to a request with the method.
type Whole struct {
	Method string
	Text   string
	// Unframed is true if the answer has a body without a length, which ends with the
	// connection.
	Unframed bool
}

// IsWhole reports whether the first n bytes are a whole answer if the connection is closed,
// or reset, after them. An answer without a length is whole wherever its connection is closed
// after its head, and never if that is reset.
func (w Whole) IsWhole(n int, reset bool) bool {
	if w.Unframed {
		return !reset && n >= strings.Index(w.Text, emptyLine)+len(emptyLine)
	}
	return n == len(w.Text)
}

// emptyLine is the end of a line and the empty one that ends a head.
const emptyLine = "\r\n\r\n"

// WholeAnswers returns an answer of each form by its name. Field holds additional header
// fields, each with its line end, or is empty.
func WholeAnswers(field string) map[string]Whole {
	const (
		length  = "Content-Length: 2\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	)
	head := "HTTP/1.1 200 OK\r\n" + field
	return map[string]Whole{
		"length":            {Method: http.MethodGet, Text: head + length + "\r\nok"},
		"length, first":     {Method: http.MethodGet, Text: "HTTP/1.1 200 OK\r\n" + length + field + "\r\nok"},
		"length, POST":      {Method: http.MethodPost, Text: head + length + "\r\nok"},
		"length, HEAD":      {Method: http.MethodHead, Text: head + length + "\r\n"},
		"empty":             {Method: http.MethodGet, Text: head + "Content-Length: 0\r\n\r\n"},
		"no content":        {Method: http.MethodPost, Text: "HTTP/1.1 204 No Content\r\n" + field + "\r\n"},
		"chunks":            {Method: http.MethodGet, Text: head + chunked + "\r\n2\r\nok\r\n0\r\n\r\n"},
		"chunks, POST":      {Method: http.MethodPost, Text: head + chunked + "\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"},
		"trailer":           {Method: http.MethodGet, Text: head + chunked + "Trailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n"},
		"interim":           {Method: http.MethodGet, Text: interim + interim + head + length + "\r\nok"},
		"interim, POST":     {Method: http.MethodPost, Text: "HTTP/1.1 100 Continue\r\n\r\n" + head + length + "\r\nok"},
		"to the end":        {Method: http.MethodGet, Text: head + "\r\nok", Unframed: true},
		"to the end, POST":  {Method: http.MethodPost, Text: head + "\r\nok", Unframed: true},
		"no length, HEAD":   {Method: http.MethodHead, Text: head + "\r\n"},
		"last, then closed": {Method: http.MethodGet, Text: head + "Connection: close\r\n" + length + "\r\nok"},
	}
}

// cutField is the name of the header field of a request that says after how many bytes its
// answer is cut off.
const cutField = "Cut"

// CutAt sets in h that the answer is cut off after n bytes.
func CutAt(h http.Header, n int) { h.Set(cutField, strconv.Itoa(n)) }

// CutAnswers returns a function for Serve that answers each request with what f returns, cut
// off where the request says, and then ends the connection: by a reset if reset is true.
// Requests that don't say so are answered in full.
func CutAnswers(reset bool, f func(r *http.Request) string) func(c net.Conn) {
	return HTTPHandler(func(c net.Conn, r *http.Request) {
		text := f(r)
		n, err := strconv.Atoi(r.Header.Get(cutField))
		if err != nil {
			_, _ = io.WriteString(c, text)
			return
		}
		_, _ = io.WriteString(c, text[:n])
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
}
