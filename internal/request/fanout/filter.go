package fanout

import (
	"context"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// Filter refuses quarantined requests at the instance that receives them from callers.
// Set the exported field before use.
type Filter struct {
	Register *poison.Register
}

// Filter implements snipefront.Filter.
func (f *Filter) Filter(ctx context.Context, r *snipefront.Request, next snipefront.Handler) (*snipefront.Response, error) {
	if a, left := f.Register.Admit(time.Now(), r.Fingerprint); a == poison.Quarantined {
		return nil, poison.Refusal(left)
	}
	return next.Serve(ctx, r)
}
