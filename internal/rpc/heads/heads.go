// Package heads checks the heads of answers, so that one that is none in HTTP/1.1 (RFC 9110 and
// RFC 9112) is not taken for an answer. Package net/http parses heads, but takes statuses that
// don't exist and names of fields with a blank, by which it frames no body.
//
// What a recipient may accept stays accepted, since sound servers send it: any reason or none,
// any HTTP/1 version, lines ended by LF alone, folded values, and a length beside chunks, which
// the chunks override.
package heads

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// maxNameBytes bounds how much of the name of a field an Error holds, in bytes.
const maxNameBytes = 64

// Error is the error of a head or a trailer that is not that of an answer.
type Error struct {
	// Detail says what is invalid.
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return "broken answer: " + e.Detail }

// Check returns an error if a status and a header are not those of an answer, final or interim.
// The status 101 answers a request to switch the protocol, which no request is. The connection of
// an answer with an error must be closed.
func Check(status int, h http.Header) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &Error{Detail: fmt.Sprintf("status %d", status)}
	}
	return CheckFields(h)
}

// CheckFinal is Check for a final answer.
func CheckFinal(status int, h http.Header) error {
	if status < http.StatusOK {
		return &Error{Detail: fmt.Sprintf("status %d", status)}
	}
	return Check(status, h)
}

// CheckFields returns an error if a field of a header or of a trailer is invalid. Those without
// values are not sent.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return &Error{Detail: fmt.Sprintf("name of a field %.*q", maxNameBytes, name)}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &Error{Detail: fmt.Sprintf("value of the field %.*q", maxNameBytes, name)}
			}
		}
	}
	return nil
}
