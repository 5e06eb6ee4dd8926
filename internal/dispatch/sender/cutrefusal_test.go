package sender_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestRefusalCutAtAnyByteIsNone guards against a refusal that a backend server broke off at any byte
// and that is believed: like each broken answer, it leaves open whether the request ran.
func TestRefusalCutAtAnyByteIsNone(t *testing.T) {
	for name, w := range rawtcp.WholeAnswers("") {
		w.Text = strings.Replace(w.Text, "200 OK", "503 Full", 1)
		if !strings.Contains(w.Text, "503") {
			continue
		}
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				b := startCutting(t, w, reset)
				s := newSender()
				// Whether a reset overtakes the end of the whole text is chance.
				cuts := len(w.Text) + 1
				if reset {
					cuts--
				}
				for n := range cuts {
					r := request(w.Method, "")
					rawtcp.CutAt(r.Header, n)
					r.Deadline = time.Now().Add(testTimeout)
					a := s.Send(t.Context(), b, r, service)
					if notRun := a.Verdict == snipefront.NotRun; notRun != w.IsWhole(n, reset) {
						t.Errorf("%q gave %+v, want not-run: %v", w.Text[:n], a, w.IsWhole(n, reset))
					}
					if a.Verdict != snipefront.NotRun && a.Reason != snipefront.ReasonBrokenAnswer {
						t.Errorf("%q gave the reason %v, want a broken answer", w.Text[:n], a.Reason)
					}
				}
			})
		}
	}
}

// TestRefusalResetDuringUploadIsNone guards against the same where the refusal has no length and the
// write of a long upload takes the error of the reset. Which call takes it is chance, so it sends many.
func TestRefusalResetDuringUploadIsNone(t *testing.T) {
	const uploads = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go rawtcp.Serve(l, rawtcp.EarlyAnswers(func(r *http.Request) (string, bool) {
		return "HTTP/1.1 503 Full\r\n" + sender.AttemptHeader + ": " + r.Header.Get(sender.AttemptHeader) + "\r\n\r\npart", true
	}))
	s := newSender()
	r := request(http.MethodPost, "")
	r.Body = make([]byte, 8<<20)
	believed := 0
	for range uploads {
		r.Deadline = time.Now().Add(testTimeout)
		a := s.Send(t.Context(), snipefront.BackendServer{Name: "b", Address: l.Addr().String()}, r, service)
		if a.Verdict != snipefront.MayHaveRun || a.Reason != snipefront.ReasonBrokenAnswer {
			believed++
		}
	}
	if believed > 0 {
		t.Errorf("%d of %d refusals that broke off were believed", believed, uploads)
	}
}
