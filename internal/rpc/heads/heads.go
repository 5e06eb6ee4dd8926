// Package heads checks the heads of answers, so that one that is none in HTTP/1.1 (RFC 9110 and
// RFC 9112) is not taken for an answer. Package net/http parses heads, but takes statuses that
// don't exist and names of fields with a blank, by which it frames no body.
//
// What a recipient may accept stays accepted, since sound servers send it: any reason or none,
// any HTTP/1 version, lines ended by LF alone, folded values, and a length beside chunks, which
// the chunks override.
package heads

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// Errors of a head.
var (
	// ErrStatus means that the status is no status of HTTP, or that it switches the protocol,
	// which no request asks for.
	ErrStatus = errors.New("answer with an invalid status")
	// ErrField means that the name of a field is no token or that its value holds a control
	// byte.
	ErrField = errors.New("answer with an invalid field")
)

// Check returns an error if a status and a header are not those of an answer, final or interim.
// The connection of such an answer must be closed.
func Check(status int, h http.Header) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.WithMessagef(ErrStatus, "status %d", status)
	}
	return CheckFields(h)
}

// CheckFields returns an error if a field of a header or of a trailer is invalid. Those without
// values are not sent.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errors.WithMessagef(ErrField, "name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.WithMessagef(ErrField, "value of %s", name)
			}
		}
	}
	return nil
}
