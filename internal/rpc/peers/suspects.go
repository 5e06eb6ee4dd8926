package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Suspects holds records of suspects: requests that were in flight on backend servers
// when these crashed.
type Suspects interface {
	// Merge adds the records of another instance.
	Merge(now time.Time, list []poison.Record)
	// Records returns the records of all suspects.
	Records(now time.Time) []poison.Record
}

// Quarantine sends records of suspects to the instance at address. If all is true, it
// returns all records of that instance.
func (c *Client) Quarantine(ctx context.Context, address string, list []poison.Record, all bool) ([]poison.Record, error) {
	l := c.peerLink(address)
	var r *wire.QuarantineResponse
	err := l.do(ctx, func(ctx context.Context) (err error) {
		r, err = l.peer.Quarantine(ctx, &wire.QuarantineRequest{Suspects: suspectMessages(list), All: all})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "quarantine")
	}
	return recordsOf(r.Suspects), nil
}

// Quarantine implements wire.Peer.
func (s *Server) Quarantine(_ context.Context, q *wire.QuarantineRequest) (*wire.QuarantineResponse, error) {
	m := &wire.QuarantineResponse{}
	if s.Suspects == nil {
		return m, nil
	}
	now := time.Now()
	s.Suspects.Merge(now, recordsOf(q.Suspects))
	if q.All {
		m.Suspects = suspectMessages(s.Suspects.Records(now))
	}
	return m, nil
}

// suspectMessages encodes list. A release is a message without crashes, before the one
// with the crashes since, if there are any. With cells a request has one service, whose
// version is not known, so that an answer releases it.
func suspectMessages(list []poison.Record) []*wire.Suspect {
	out := make([]*wire.Suspect, 0, len(list))
	for _, r := range list {
		if r.Released || len(r.Answered) > 0 {
			out = append(out, &wire.Suspect{Fingerprint: r.Fingerprint, LeftMillis: r.Left.Milliseconds()})
		}
		if len(r.Crashed) > 0 {
			out = append(out, suspectMessage(r))
		}
	}
	return out
}

func suspectMessage(r poison.Record) *wire.Suspect {
	m := &wire.Suspect{Fingerprint: r.Fingerprint, LeftMillis: r.Left.Milliseconds()}
	for _, s := range r.Crashed {
		m.Fallen = append(m.Fallen, &wire.Fallen{
			Service:     s.Service,
			DataCentre:  s.DataCentre,
			Name:        s.Name,
			Incarnation: s.Incarnation,
		})
	}
	return m
}

func recordsOf(list []*wire.Suspect) []poison.Record {
	out := make([]poison.Record, 0, len(list))
	for _, m := range list {
		r := poison.Record{Fingerprint: m.Fingerprint, Released: len(m.Fallen) == 0, Left: time.Duration(m.LeftMillis) * time.Millisecond}
		for _, s := range m.Fallen {
			r.Crashed = append(r.Crashed, poison.Server{
				Service:     s.Service,
				DataCentre:  s.DataCentre,
				Name:        s.Name,
				Incarnation: s.Incarnation,
			})
		}
		out = append(out, r)
	}
	return out
}
