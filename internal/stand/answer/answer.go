// Package answer derives the body of a stand-in backend server's answer from
// the request that it answers.
//
// A body has a fixed length and consists of a digest of the request, padding and
// a checksum of both. The caller of a request can therefore distinguish a truncated
// or damaged answer from an intact answer to another request.
package answer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/crc32"
)

// Length is the length in bytes of each answer.
const Length = 512

const (
	checksumBytes = 8
	digestBytes   = 2 * sha256.Size
)

// Request holds the parts of a request that determine its answer.
type Request struct {
	// Target is the request target: the path and query.
	Target string
	// IdempotencyKey is the value of the Idempotency-Key header, or empty.
	IdempotencyKey string
	// RequestID is the value of the X-Request-Id header, or empty.
	RequestID string
	// Body is the complete body.
	Body []byte
}

// Fault is the result of Check.
type Fault uint8

// The results of Check.
const (
	// Intact is an intact answer to the request.
	Intact Fault = iota
	// CutShort is an answer that is truncated or damaged.
	CutShort
	// Crossed is an intact answer to another request.
	Crossed
)

// Answer returns the body of the answer to r.
func (r *Request) Answer() []byte {
	b := make([]byte, 0, Length)
	b = append(b, r.digest()...)
	b = append(b, bytes.Repeat([]byte{'.'}, Length-digestBytes-checksumBytes)...)
	return fmt.Appendf(b, "%08x", crc32.ChecksumIEEE(b))
}

// Check returns Intact if b is the intact answer to r, or else what is wrong with b.
func (r *Request) Check(b []byte) Fault {
	if len(b) != Length {
		return CutShort
	}
	content, sum := b[:Length-checksumBytes], b[Length-checksumBytes:]
	if fmt.Sprintf("%08x", crc32.ChecksumIEEE(content)) != string(sum) {
		return CutShort
	}
	if string(content[:digestBytes]) != r.digest() {
		return Crossed
	}
	return Intact
}

func (r *Request) digest() string {
	body := sha256.Sum256(r.Body)
	text := fmt.Sprintf("%q %q %q %x", r.Target, r.IdempotencyKey, r.RequestID, body)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
