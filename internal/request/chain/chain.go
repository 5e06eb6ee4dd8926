// Package chain joins filters into the path of a request.
package chain

import (
	"context"

	"github.com/snipefront/snipefront"
)

// Join returns a handler that passes each request through the filters in their
// order and then to last.
func Join(last snipefront.Handler, filters ...snipefront.Filter) snipefront.Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = link{filter: filters[i], next: h}
	}
	return h
}

// link is one filter with what follows it.
type link struct {
	filter snipefront.Filter
	next   snipefront.Handler
}

// Serve implements snipefront.Handler.
func (l link) Serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	return l.filter.Filter(ctx, r, l.next)
}
