package disk

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// commitField is the number of the field of a LogRecord that holds the commit index. The
// generated code doesn't know the field and keeps it as it is.
const commitField protowire.Number = 6

// withCommit adds the commit index to r, unless it is zero, and returns r.
func withCommit(r *wire.LogRecord, index uint64) *wire.LogRecord {
	if index > 0 {
		b := protowire.AppendTag(nil, commitField, protowire.VarintType)
		r.ProtoReflect().SetUnknown(protowire.AppendVarint(b, index))
	}
	return r
}

// commitOf returns the commit index in r, or zero if it has none.
func commitOf(r *wire.LogRecord) (uint64, error) {
	index := uint64(0)
	for b := []byte(r.ProtoReflect().GetUnknown()); len(b) > 0; {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return 0, errors.Wrap(protowire.ParseError(n), "decode field of log record")
		}
		b = b[n:]
		if number == commitField && kind == protowire.VarintType {
			index, n = protowire.ConsumeVarint(b)
		} else {
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return 0, errors.Wrap(protowire.ParseError(n), "decode field of log record")
		}
		b = b[n:]
	}
	return index, nil
}
