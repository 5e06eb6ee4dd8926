// Package answer derives the body of a stand-in backend server's answer from
// the request that it answers.
//
// A body has a fixed length, a digest of the request and a checksum over the
// rest. The caller, which knows its own request, can therefore tell an answer
// that is cut short or damaged from a whole answer to somebody else's request.
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
	checksumLength = 8
	digestLength   = 2 * sha256.Size
)

// Question is the part of a request that its answer depends on.
type Question struct {
	// Target is the path and query.
	Target string
	// IdempotencyKey is the header of that name, or empty.
	IdempotencyKey string
	// RequestID is the header X-Request-Id, or empty.
	RequestID string
	// Body is the whole body.
	Body []byte
}

// Fault is what is wrong with an answer.
type Fault uint8

// The faults of an answer.
const (
	// Whole is the answer to the question, complete.
	Whole Fault = iota
	// CutShort is an answer that is incomplete or damaged.
	CutShort
	// Crossed is a whole answer to another question.
	Crossed
)

// Answer returns the body that answers q.
func (q *Question) Answer() []byte {
	b := make([]byte, 0, Length)
	b = append(b, q.digest()...)
	b = append(b, bytes.Repeat([]byte{'.'}, Length-digestLength-checksumLength)...)
	return fmt.Appendf(b, "%08x", crc32.ChecksumIEEE(b))
}

// Check returns what is wrong with b as the answer to q.
func (q *Question) Check(b []byte) Fault {
	if len(b) != Length {
		return CutShort
	}
	content, sum := b[:Length-checksumLength], b[Length-checksumLength:]
	if fmt.Sprintf("%08x", crc32.ChecksumIEEE(content)) != string(sum) {
		return CutShort
	}
	if string(content[:digestLength]) != q.digest() {
		return Crossed
	}
	return Whole
}

func (q *Question) digest() string {
	body := sha256.Sum256(q.Body)
	text := fmt.Sprintf("%q %q %q %x", q.Target, q.IdempotencyKey, q.RequestID, body)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
