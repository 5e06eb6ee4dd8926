// Package notice parses the parts of an answer's header that describe the backend server
// rather than the answer: that it drains, or asks this instance to send no requests for a
// time. Any answer may have them.
package notice

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxPause bounds the pause for which a backend server may ask.
	maxPause = 10 * time.Minute
	// pauseSpread is the largest share of a pause by which an instance waits longer, and
	// maxPauseSpread the longest such time. Many instances may be asked at the same moment.
	pauseSpread    = 0.25
	maxPauseSpread = time.Second
	// returnSpread is the largest share by which Retry-After exceeds the time until the first
	// pause ends, so that callers do not all resend at the same moment.
	returnSpread = 0.25
)

// Notice is what the header of an answer says about its backend server.
type Notice struct {
	// Draining is true if the backend server accepts no new requests any more.
	Draining bool
	// Pause is the time for which this instance should send it no requests.
	Pause time.Duration
}

// ErrPauseUnreadable means that a backend server asked for a pause whose length can't be
// read, and ErrPauseTooLong that the length was bounded.
var (
	ErrPauseUnreadable = errors.New("pause that can't be read")
	ErrPauseTooLong    = errors.New("pause over the limit")
)

// RetryAfter returns the Retry-After of a request that is refused because of pauses, the
// first of which ends after the given time.
func RetryAfter(first time.Duration) time.Duration {
	return first + time.Duration(returnSpread*rand.Float64()*float64(first))
}

// Parse parses the notice of an answer with the given status and header, in which the named
// field is 1 if the backend server drains. It returns a notice also beside an error, which
// only concerns the pause.
func Parse(drainingField string, status int, h http.Header) (Notice, error) {
	n := Notice{Draining: drainingField != "" && h.Get(drainingField) == "1"}
	text := strings.TrimSpace(h.Get("Retry-After"))
	if status != http.StatusServiceUnavailable || text == "" {
		return n, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange), math.IsNaN(seconds), seconds < 0:
		return n, errors.WithMessage(ErrPauseUnreadable, text)
	case seconds > maxPause.Seconds():
		n.Pause = maxPause
		return n, errors.WithMessage(ErrPauseTooLong, text)
	}
	n.Pause = time.Duration(seconds * float64(time.Second))
	return n, nil
}

// End returns when a pause that was asked for at now ends for this instance, a little later
// than asked.
func (n Notice) End(now time.Time) time.Time {
	spread := min(time.Duration(pauseSpread*float64(n.Pause)), maxPauseSpread)
	return now.Add(n.Pause + time.Duration(rand.Int64N(int64(spread)+1)))
}
