package link_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestAnswerResetDuringUploadIsFaulty guards against the part of an answer without a length that a caller
// gets as a whole one, since the backend server reset the connection while a long upload was being written
// to it. Whether the write or the read takes the error is chance, so it sends many.
func TestAnswerResetDuringUploadIsFaulty(t *testing.T) {
	const uploads = 60
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 500 Oops", "HTTP/1.0 200 OK", "HTTP/1.1 503 Full\r\nNot-Run: 1"} {
		t.Run(line, func(t *testing.T) {
			l, target := startRawServer(t, rawtcp.EarlyAnswers(func(r *http.Request) (string, bool) {
				return fmt.Sprintf("%s\r\nId: %s\r\nSignature: x\r\n\r\npart", line, r.Header.Get("Id")), true
			}))
			body := make([]byte, 8<<20)
			taken := 0
			for n := range uploads {
				id := fmt.Sprint(n)
				c := &direct.Call{ID: id, Request: &snipefront.Request{
					Method: http.MethodPost, Target: "/", Header: http.Header{"Host": {"x.example"}, "Id": {id}}, Body: body, Deadline: time.Now().Add(time.Minute),
				}}
				a := l.Send(t.Context(), c, target)
				if a.Verdict != snipefront.MayHaveRun || a.Reason != snipefront.ReasonBrokenAnswer || a.Outcome != health.Faulty || a.Complete {
					taken++
				}
			}
			if taken > 0 {
				t.Errorf("%d of %d parts of an answer count as whole ones, want each as a broken answer that may have run", taken, uploads)
			}
			conn, err := l.Pool.Get(t.Context(), target.Server.Address, false)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if conn.Reused {
				t.Error("a connection is used again after a part of an answer")
			}
		})
	}
}
