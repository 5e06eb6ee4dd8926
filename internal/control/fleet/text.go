package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxTextBytes is the most bytes that Text returns. Text truncates a longer text to this
// length and returns no error.
const maxTextBytes = 64 << 20

// NewDocument compresses text and returns it as the Document with this version.
func NewDocument(version uint64, text []byte) (Document, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return Document{}, errors.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(text); err != nil {
		return Document{}, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return Document{}, errors.Wrap(err, "compress configuration")
	}
	return Document{Version: version, Source: b.Bytes()}, nil
}

// Text returns the decompressed text as the operator sent it, truncated to maxTextBytes.
func (d Document) Text() ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(d.Source))
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, maxTextBytes))
	return b, errors.Wrap(err, "decompress configuration")
}
