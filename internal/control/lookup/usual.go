package lookup

import "time"

const (
	// usualLifetime is the time after which the number of instances that a data centre
	// once had no longer counts as usual.
	usualLifetime = 10 * time.Minute
	// learnTime is the time after the first view during which all data centres are
	// taken to have a like number of instances, since the view may be of an outage.
	learnTime = time.Minute
)

// history holds the number of instances that each data centre usually has. Its zero value
// is ready to use.
type history struct {
	begun time.Time
	usual map[place]count
}

// count is a number of instances in service at an instant.
type count struct {
	instances int
	at        time.Time
}

// record records the instances in service at the instant now.
func (h *history) record(now time.Time, addresses map[place][]string) {
	if h.usual == nil {
		h.usual, h.begun = map[place]count{}, now
	}
	for p, list := range addresses {
		if c := h.usual[p]; len(list) >= c.instances {
			h.usual[p] = count{instances: len(list), at: now}
		}
	}
	for p, c := range h.usual {
		if now.Sub(c.at) < usualLifetime {
			continue
		}
		delete(h.usual, p)
		if n := len(addresses[p]); n > 0 {
			h.usual[p] = count{instances: n, at: now}
		}
	}
}

// expected returns the number of instances that each data centre should have in service:
// as many as usual, in the proportion that the others of its region still have.
func (h *history) expected(now time.Time, addresses map[place][]string) map[string]float64 {
	list := map[string]float64{}
	for p, c := range h.usual {
		others, usual, dataCentres := 0, 0, 0
		for o, serving := range addresses {
			if o.region != p.region || o == p {
				continue
			}
			others += len(serving)
			usual += h.usual[o].instances
			dataCentres++
		}
		if dataCentres == 0 {
			continue
		}
		n := float64(c.instances) * float64(others) / float64(usual)
		if now.Sub(h.begun) < learnTime {
			n = max(n, float64(others)/float64(dataCentres))
		}
		list[p.dataCentre] = n
	}
	return list
}
