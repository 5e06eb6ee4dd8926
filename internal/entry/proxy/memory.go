package proxy

import (
	"net/http"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// RefuseUnread implements pipe.Refuser.
func (p *Proxy) RefuseUnread(r *http.Request) pipe.Answer {
	id := r.Header.Get(p.Fields.RequestID)
	p.Logger.Info("no memory for the request; answering with 503 and closing the connection", "request", id, "host", r.Host,
		"path", r.URL.EscapedPath(), "bytes", r.ContentLength)
	return p.refuse("", id, noMemory())
}

func noMemory() *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonMemory, retryAfterNoMemory, "other requests and answers take all of the memory for them")
}
