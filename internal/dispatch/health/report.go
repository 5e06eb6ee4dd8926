// Package health tracks the load and the health of backend servers that several
// instances send to. It probes them just before a choice.
//
// The load of a backend server changes within milliseconds, so a load report expires
// after 30 ms. A load probe is a request for the health path, which backend
// servers that report their load answer immediately. All choices made within the
// lifetime of a report share it.
package health

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

const (
	// maxLoadCount bounds the numbers of running and of waiting requests in a load report.
	maxLoadCount = 1_000_000
	// maxPacePercent bounds the slowdown factor in a load report, in percent.
	maxPacePercent = 1_000_000
)

// Report is the load report of a backend server: its answer to a load probe.
type Report struct {
	// At is when the probe was sent. Zero means that none was answered yet.
	At time.Time
	// Taken is the round trip of the probe.
	Taken time.Duration
	// Known reports whether Running, Waiting and Slots are set. A backend server may
	// answer probes without reporting its load.
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is the slowdown factor: the current service time as a multiple of the one
	// at usual speed. Zero means unknown.
	Pace float64
	// Cold is the time from At until the warm-up of the backend server ends.
	Cold time.Duration
	// Healthy is false if the backend server reports that it is unhealthy or draining.
	Healthy bool
	// Server is the name that the backend server gave, or empty if it gave none.
	Server string
	// Limit is what the answer says of the rate limit.
	Limit quota.Statement
}

// ParseReport parses a load report from the status and the header of the answer to
// a load probe that was sent at the given time. Header fields that are missing, malformed
// or out of range leave their part of the report unset.
func ParseReport(f snipefront.HeaderFields, status int, h http.Header, at time.Time) Report {
	r := Report{At: at, Healthy: status == http.StatusOK, Server: h.Get(f.Server)}
	r.parseLoad(h.Get(f.Load))
	if ms, err := strconv.ParseFloat(h.Get(f.Cold), 64); err == nil && ms > 0 && ms <= float64(snipefront.MaxWarmUp.Milliseconds()) {
		r.Cold = time.Duration(ms * float64(time.Millisecond))
	}
	return r
}

// parseLoad parses "running,waiting,slots" with an optional fourth field, the slowdown
// factor in percent. It ignores a text of any other form.
func (r *Report) parseLoad(text string) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return
	}
	var n [4]int
	largest := [len(n)]int{maxLoadCount, maxLoadCount, snipefront.MaxSlots, maxPacePercent}
	for i, p := range parts[:min(len(parts), len(n))] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 || v > largest[i] {
			return
		}
		n[i] = v
	}
	if n[2] == 0 {
		return
	}
	r.Known = true
	r.Running, r.Waiting, r.Slots = n[0], n[1], n[2]
	r.Pace = float64(n[3]) / 100
}
