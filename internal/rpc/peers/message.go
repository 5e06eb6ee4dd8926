package peers

import (
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

func forwardRequest(epoch uint64, c snipefront.Cell, r *snipefront.Request, mayQueue bool) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		Service:        c.Service,
		DataCentre:     c.DataCentre,
		Method:         r.Method,
		Target:         r.Target,
		Header:         headerFields(r.Header),
		Body:           r.Body,
		TimeoutMicros:  time.Until(r.Deadline).Microseconds(),
		Importance:     uint32(r.Importance),
		IdempotencyKey: r.IdempotencyKey,
		Fingerprint:    r.Fingerprint,
		Idempotent:     r.Idempotent,
		MayQueue:       mayQueue,
		Epoch:          epoch,
		Broken:         uint32(r.Broken),
	}
}

func headerFields(h http.Header) []*wire.Field {
	block := make([]wire.Field, len(h))
	list := make([]*wire.Field, 0, len(h))
	for n, v := range h {
		f := &block[len(list)]
		f.Name, f.Values = n, v
		list = append(list, f)
	}
	return list
}

func headerOf(list []*wire.Field) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		h[f.Name] = f.Values
	}
	return h
}

func refusalMessage(e *snipefront.Error) *wire.Refusal {
	return &wire.Refusal{
		Verdict:          uint32(e.Verdict),
		Reason:           string(e.Reason),
		Status:           int32(e.Status),
		RetryAfterMicros: e.RetryAfter.Microseconds(),
		Detail:           e.Detail,
		Broken:           uint32(e.Broken),
	}
}

func refusalError(r *wire.Refusal) *snipefront.Error {
	return &snipefront.Error{
		Verdict:    snipefront.Verdict(r.Verdict),
		Reason:     snipefront.Reason(r.Reason),
		Status:     int(r.Status),
		RetryAfter: time.Duration(r.RetryAfterMicros) * time.Microsecond,
		Detail:     r.Detail,
		Broken:     int(r.Broken),
	}
}

func instanceMessage(n snipefront.Instance) *wire.Instance {
	return &wire.Instance{
		Name:          n.Name,
		DataCentre:    n.DataCentre,
		CallerAddress: n.CallerAddress,
		PeerAddress:   n.PeerAddress,
		Incarnation:   n.Incarnation,
	}
}

func instanceOf(n *wire.Instance) snipefront.Instance {
	return snipefront.Instance{
		Name:          n.GetName(),
		DataCentre:    n.GetDataCentre(),
		CallerAddress: n.GetCallerAddress(),
		PeerAddress:   n.GetPeerAddress(),
		Incarnation:   n.GetIncarnation(),
	}
}
