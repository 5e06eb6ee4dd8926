package calls

import (
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

const (
	// requestBytes is what a request takes beside its body, in bytes: its goroutine and its
	// header.
	requestBytes = 8 << 10
	// retryAfterNoMemory is the Retry-After time of a request for which there is no memory.
	retryAfterNoMemory = time.Second
)

// heldBytes returns what req takes of the memory for short bodies, in bytes.
func heldBytes(req *http.Request) int64 {
	switch n := req.ContentLength; {
	case n < 0:
		return requestBytes + bound.ShortBytes
	case n <= bound.ShortBytes:
		return requestBytes + n
	}
	return requestBytes
}

// noMemory returns the refusal of a request for which there is no memory. Its connection
// closes, since its body is not read.
func (h *Handler) noMemory(w http.ResponseWriter, req *http.Request) error {
	w.Header().Set("Connection", "close")
	if h.Logger != nil {
		h.Logger.Info("no memory for the request; answering with 503 and closing the connection", "request", req.Header.Get(RequestIDHeader),
			"path", req.URL.EscapedPath(), "bytes", req.ContentLength)
	}
	return unclaimed(req, snipefront.Refused(snipefront.ReasonMemory, retryAfterNoMemory, "other requests and answers take all of the memory for them"))
}
