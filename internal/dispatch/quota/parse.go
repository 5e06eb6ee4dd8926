package quota

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
)

// maxPerSecond bounds a rate limit, in requests per second.
const maxPerSecond = 1e9

// ErrUnreadable means that an answer names a limit that is no number from zero to
// maxPerSecond. It shows neither a limit nor that there is none.
var ErrUnreadable = errors.New("unreadable rate limit")

// Statement is what an answer says of the limit. The zero value says nothing.
type Statement struct {
	snipefront.RateLimit
	// Readable is false if there is no answer, or one from which RateLimit can't be read.
	Readable bool
}

// Parse returns what the values of a header field say, in requests per second. Of several
// limits it returns the lowest. No value means that no limit is named.
func Parse(values []string) (Statement, error) {
	var l snipefront.RateLimit
	for _, text := range values {
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(v) || v < 0 || v > maxPerSecond {
			return Statement{}, errors.WithMessagef(ErrUnreadable, "%.40q", text)
		}
		if !l.Named || v < l.PerSecond {
			l = snipefront.RateLimit{Named: true, PerSecond: v}
		}
	}
	return Statement{RateLimit: l, Readable: true}, nil
}
