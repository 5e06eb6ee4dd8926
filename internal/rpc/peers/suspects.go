package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Suspects holds the requests under which backend servers fell.
type Suspects interface {
	// Merge takes in the records of another instance.
	Merge(now time.Time, list []poison.Record)
	// Records returns all records.
	Records(now time.Time) []poison.Record
}

// Quarantine gives records to the instance at address, and where all is true
// returns all that it holds.
func (c *Client) Quarantine(ctx context.Context, address string, list []poison.Record, all bool) ([]poison.Record, error) {
	l := c.peerAt(address)
	var r *wire.QuarantineResponse
	err := l.do(ctx, func(ctx context.Context) (err error) {
		r, err = l.peer.Quarantine(ctx, &wire.QuarantineRequest{Suspects: suspects(list), All: all})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "quarantine")
	}
	return records(r.Suspects), nil
}

// Quarantine implements wire.Peer.
func (s *Server) Quarantine(_ context.Context, q *wire.QuarantineRequest) (*wire.QuarantineResponse, error) {
	m := &wire.QuarantineResponse{}
	if s.Suspects == nil {
		return m, nil
	}
	now := time.Now()
	s.Suspects.Merge(now, records(q.Suspects))
	if q.All {
		m.Suspects = suspects(s.Suspects.Records(now))
	}
	return m, nil
}

func suspects(list []poison.Record) []*wire.Suspect {
	out := make([]*wire.Suspect, 0, len(list))
	for _, r := range list {
		m := &wire.Suspect{Fingerprint: r.Fingerprint, LeftMillis: r.Left.Milliseconds()}
		for _, s := range r.Fallen {
			m.Fallen = append(m.Fallen, &wire.Fallen{
				Service:     s.Service,
				DataCentre:  s.DataCentre,
				Name:        s.Name,
				Incarnation: s.Incarnation,
			})
		}
		out = append(out, m)
	}
	return out
}

func records(list []*wire.Suspect) []poison.Record {
	out := make([]poison.Record, 0, len(list))
	for _, m := range list {
		r := poison.Record{Fingerprint: m.Fingerprint, Left: time.Duration(m.LeftMillis) * time.Millisecond}
		for _, s := range m.Fallen {
			r.Fallen = append(r.Fallen, poison.Server{
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
