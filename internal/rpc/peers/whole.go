package peers

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// acceptHeader is the header field of a Watch whose answer may hold a compressed whole
	// state, and acceptGzip its value. Instances of earlier versions don't send it.
	acceptHeader = "X-Snipefront-Accept-Changes"
	acceptGzip   = "gzip"
)

// gzipMagic is what compressed changes begin with. JSON does not.
var gzipMagic = []byte{0x1f, 0x8b}

type acceptKey struct{}

// withAccept records in the context of a call whether its answer may be compressed.
func withAccept(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(acceptHeader) == acceptGzip {
			r = r.WithContext(context.WithValue(r.Context(), acceptKey{}, true))
		}
		h.ServeHTTP(w, r)
	})
}

// wholeStates encodes and compresses whole states. After a loss of power all instances ask
// for the same one at the same time, over slow links, so it keeps the last one.
type wholeStates struct {
	mu sync.Mutex
	// encoded is the whole state at index, or nil.
	encoded []byte
	index   uint64
}

// encode returns d, a whole state, as compressed JSON.
func (w *wholeStates) encode(d fleet.Delta) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.encoded != nil && w.index == d.Index {
		return w.encoded, nil
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(d); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	w.encoded, w.index = b.Bytes(), d.Index
	return w.encoded, nil
}

// encodeChanges returns d in JSON, compressed if it is a whole state and the call accepts that.
func (s *Server) encodeChanges(ctx context.Context, d fleet.Delta) ([]byte, error) {
	if d.Whole && ctx.Value(acceptKey{}) != nil {
		return s.wholes.encode(d)
	}
	return json.Marshal(d)
}

// decodeChanges decodes changes in JSON, which may be compressed, of up to limit bytes.
func decodeChanges(b []byte, limit int64) (d fleet.Delta, err error) {
	if bytes.HasPrefix(b, gzipMagic) {
		if b, err = decompress(b, limit); err != nil {
			return d, err
		}
	}
	return d, json.Unmarshal(b, &d)
}

func decompress(b []byte, limit int64) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(z, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = errTooBig
	}
	return text, errors.Wrap(err, "decompress")
}
