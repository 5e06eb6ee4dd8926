// Package heads checks the heads of answers, so that one that is none in HTTP/1.1 (RFC 9110 and
// RFC 9112) is not taken for an answer. Package net/http parses heads, but takes statuses that
// don't exist.
//
// What a recipient may accept stays accepted, since sound servers send it: any reason or none,
// any HTTP/1 version, lines ended by LF alone, folded values, and a length beside chunks, which
// the chunks override.
package heads

import (
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// ErrStatus means that the status of an answer is no status of HTTP, or that it switches the
// protocol, which no request asks for.
var ErrStatus = errors.New("answer with an invalid status")

// Check returns an error if the head of resp is not that of an answer, final or interim. The
// connection of such an answer must be closed.
func Check(resp *http.Response) error {
	return checkHead(resp.StatusCode)
}

// checkHead is Check for the parts of a head.
func checkHead(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.WithMessagef(ErrStatus, "status %d", status)
	}
	return nil
}
