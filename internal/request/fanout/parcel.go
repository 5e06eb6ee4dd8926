package fanout

import (
	"time"

	"github.com/snipefront/snipefront/internal/request/poison"
)

// backlog holds the records that one instance has not yet received.
type backlog struct {
	// records holds the records by fingerprint.
	records map[uint64]pendingRecord
	// failures counts the calls that failed in a row.
	failures int
	// nextCall is the earliest time of the next call.
	nextCall time.Time
	// calling is true while a call is in progress.
	calling bool
}

// pendingRecord is a record with the time at which it expires.
type pendingRecord struct {
	released bool
	answered []poison.Software
	crashed  []poison.Server
	expires  time.Time
}

// add adds r to what is known of the same request, and reports whether there was space.
func (p *backlog) add(now time.Time, r poison.Record) bool {
	old, ok := p.records[r.Fingerprint]
	if !ok && len(p.records) >= maxPending {
		return false
	}
	known := poison.Record{Released: old.released, Answered: old.answered, Crashed: old.crashed}.Add(r)
	p.records[r.Fingerprint] = pendingRecord{released: known.Released, answered: known.Answered, crashed: known.Crashed, expires: now.Add(r.Left)}
	return true
}

// batch returns the records for one call and drops those that have expired.
func (p *backlog) batch(now time.Time) []poison.Record {
	var list []poison.Record
	for f, r := range p.records {
		left := r.expires.Sub(now)
		if left <= 0 {
			delete(p.records, f)
			continue
		}
		if len(list) < maxBatch {
			list = append(list, poison.Record{Fingerprint: f, Released: r.released, Answered: r.answered, Crashed: r.crashed, Left: left})
		}
	}
	return list
}

// remove removes the records that were sent, except those with a crash added since.
func (p *backlog) remove(sent []poison.Record) {
	for _, r := range sent {
		if len(p.records[r.Fingerprint].crashed) == len(r.Crashed) {
			delete(p.records, r.Fingerprint)
		}
	}
}
