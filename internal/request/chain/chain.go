// Package chain composes filters and a handler into one handler.
package chain

import (
	"context"

	"github.com/snipefront/snipefront"
)

// Join returns a handler that calls the filters in the order given and then last.
func Join(last snipefront.Handler, filters ...snipefront.Filter) snipefront.Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = link{filter: filters[i], next: h}
	}
	return h
}

// link is a filter and the handler that it calls next.
type link struct {
	filter snipefront.Filter
	next   snipefront.Handler
}

// Serve implements snipefront.Handler.
func (l link) Serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	return l.filter.Filter(ctx, r, l.next)
}
