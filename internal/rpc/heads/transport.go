package heads

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimBytes bounds the heads of the interim answers (status 1xx) before an answer, in
// bytes. A transport bounds them itself only if nobody looks at them.
const maxInterimBytes = 64 << 10

// lineBytes is what a status line takes at least, in bytes, and fieldBytes what a field takes
// beside its name and its value.
const (
	lineBytes  = len("HTTP/1.1 100\r\n\r\n")
	fieldBytes = len(":\r\n")
)

// Transport is an http.RoundTripper that fails if the head of an answer is not that of an answer,
// and whose bodies fail at their end if the trailer is invalid. It then closes the connection, so
// that no other request uses it, and the idle ones of Base, which may hand it to the next request
// otherwise.
type Transport struct {
	Base *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &exchange{base: t.Base}
	resp, err := t.Base.RoundTrip(req.WithContext(x.trace(req.Context())))
	if err != nil {
		return nil, err
	}
	if err := Check(resp.StatusCode, resp.Header); err != nil {
		x.close()
		_ = resp.Body.Close() // the connection is closed
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunks{ReadCloser: resp.Body, exchange: x, answer: resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections, for http.Client.
func (t Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// exchange is a request and its answers on one connection.
type exchange struct {
	base *http.Transport
	conn net.Conn
	// interim is the size of the heads of the interim answers, in bytes.
	interim int
}

// trace returns a context for the request of x.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(i httptrace.GotConnInfo) { x.conn = i.Conn },
		Got1xxResponse: x.checkInterim,
	})
}

// checkInterim checks the head of an interim answer. An error ends the exchange.
func (x *exchange) checkInterim(status int, h textproto.MIMEHeader) error {
	x.interim += lineBytes
	for name, values := range h {
		for _, v := range values {
			x.interim += len(name) + len(v) + fieldBytes
		}
	}
	if x.interim > maxInterimBytes {
		return &Error{Detail: "interim answers over the size limit"}
	}
	return Check(status, http.Header(h))
}

// close closes the connection. If the answer has no body, it is idle by now, or carries the next
// request already.
func (x *exchange) close() {
	if x.conn != nil {
		_ = x.conn.Close() // fails only if it is closed
	}
	x.base.CloseIdleConnections()
}

// chunks is the body of an answer that may have a trailer.
type chunks struct {
	io.ReadCloser
	exchange *exchange
	answer   *http.Response
}

// Read implements io.Reader.
func (c *chunks) Read(b []byte) (int, error) {
	n, err := c.ReadCloser.Read(b)
	if err != io.EOF {
		return n, err
	}
	if invalid := CheckFields(c.answer.Trailer); invalid != nil {
		c.exchange.close()
		return n, invalid
	}
	return n, err
}
