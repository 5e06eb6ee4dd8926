// Package health knows the load of backend servers that several instances send to,
// by asking for it just before a choice.
//
// The load of a backend server shifts within milliseconds, so a report is good for
// a few of them only. A look is a request for the health path, which answers at
// once; its answer serves all choices that fall into its lifetime.
package health

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snipefront/snipefront"
)

// Report is what a backend server said of its load.
type Report struct {
	// At is when it was asked. Zero is never.
	At time.Time
	// Known is true where the report has figures of the load.
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes now, as a multiple of the usual. Zero is unknown.
	Pace float64
	// Cold is how long the backend server stays cold, counted from At.
	Cold time.Duration
	// Healthy is false where it said that it is not well or leaves.
	Healthy bool
	// Server is the name that it gave. Empty is none.
	Server string
}

// ReportOf reads a report from the answer to a look.
func ReportOf(f snipefront.Fields, status int, h http.Header, at time.Time) Report {
	r := Report{At: at, Healthy: status == http.StatusOK, Server: h.Get(f.Server)}
	r.readLoad(h.Get(f.Load))
	if ms, err := strconv.ParseFloat(h.Get(f.Cold), 64); err == nil && ms > 0 {
		r.Cold = time.Duration(ms * float64(time.Millisecond))
	}
	return r
}

// readLoad reads the fields of the load. A text with any other form is passed over.
func (r *Report) readLoad(text string) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return
	}
	var n [4]int
	for i, p := range parts[:min(len(parts), len(n))] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
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
