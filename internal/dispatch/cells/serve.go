package cells

import (
	"context"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
)

// retryLater is the time after which a caller may resend a request to a cell for which
// no backend server is known.
const retryLater = 2 * time.Second

// Count returns the counts of c, and false if no backend server of c is known.
func (s *Set) Count(now time.Time, c snipefront.Cell) (cell.Counts, bool) {
	d := s.Get(c)
	if d == nil {
		return cell.Counts{}, false
	}
	return d.Cell.Count(now), true
}

// Serve runs r in c. If mayQueue is true, r may wait for a slot.
func (s *Set) Serve(ctx context.Context, c snipefront.Cell, r *snipefront.Request, service snipefront.Service, mayQueue bool) (*snipefront.Response, error) {
	d := s.Get(c)
	if d == nil {
		return nil, snipefront.Refused(snipefront.ReasonNoBackendServer, retryLater, "no backend server of the cell has announced itself")
	}
	return d.Run(ctx, r, service, mayQueue)
}
