package fanout

import (
	"time"

	"github.com/snipefront/snipefront/internal/request/poison"
)

// parcel is the records that one instance has not yet taken in.
type parcel struct {
	records map[uint64]held
	// tries counts the calls that failed since the last that did not.
	tries int
	// due is the earliest time of the next call.
	due time.Time
	// busy is true while a call is going on.
	busy bool
}

// held is a record with the instant at which it ends.
type held struct {
	fallen []poison.Server
	ends   time.Time
}

// add puts r into the parcel and returns whether there was room.
func (p *parcel) add(now time.Time, r poison.Record) bool {
	if _, ok := p.records[r.Fingerprint]; !ok && len(p.records) >= maxHeld {
		return false
	}
	p.records[r.Fingerprint] = held{fallen: r.Fallen, ends: now.Add(r.Left)}
	return true
}

// batch returns records for one call and forgets those that have ended.
func (p *parcel) batch(now time.Time) []poison.Record {
	var list []poison.Record
	for f, h := range p.records {
		left := h.ends.Sub(now)
		if left <= 0 {
			delete(p.records, f)
			continue
		}
		if len(list) < maxBatch {
			list = append(list, poison.Record{Fingerprint: f, Fallen: h.fallen, Left: left})
		}
	}
	return list
}

// forget removes what was sent, but for records that changed since.
func (p *parcel) forget(sent []poison.Record) {
	for _, r := range sent {
		if len(p.records[r.Fingerprint].fallen) == len(r.Fallen) {
			delete(p.records, r.Fingerprint)
		}
	}
}
