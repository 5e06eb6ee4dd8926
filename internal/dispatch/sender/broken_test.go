package sender_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// brokenTimeout is the time that an attempt has. Only a failing test uses all of it.
const brokenTimeout = 5 * time.Second

// checkBroken checks that none of the answers is taken by a request or a probe, or held until
// the deadline, and that no connection is used again after one. answers returns them with the
// given fields. Their notices are heard if hears is true.
func checkBroken(t *testing.T, answers func(field string) map[string]string, hears bool) {
	for name := range answers("") {
		for _, closes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, closed %v", name, closes), func(t *testing.T) {
				t.Parallel()
				f := serve(t, func(_ int, r *http.Request, _ []byte) (string, bool) {
					return answers(brokenFields(r))[name], !closes
				})
				testBroken(t, f, hears)
			})
		}
	}
}

// brokenFields are the fields of an answer that would make it the one to r, with a notice.
func brokenFields(r *http.Request) string {
	return sender.AttemptHeader + ": " + r.Header.Get(sender.AttemptHeader) + "\r\n" + sender.DrainingHeader + ": 1\r\n"
}

// testBroken sends three requests and a probe to a backend server whose answers are broken.
func testBroken(t *testing.T, f *fake, hears bool) {
	s := newSender()
	var heard atomic.Int64
	s.Heard = func(snipefront.BackendServer, notice.Notice, error) { heard.Add(1) }
	const sent = 3
	for range sent {
		ctx, cancel := context.WithTimeout(t.Context(), brokenTimeout)
		a := s.Send(ctx, f.server(), request(http.MethodPost, "x"), service)
		timedOut := ctx.Err() != nil
		cancel()
		if a.Response != nil || a.Verdict != snipefront.MayHaveRun || a.Reason != snipefront.ReasonBrokenAnswer || timedOut {
			t.Errorf("the attempt is %+v, timed out %v, want a broken answer at once that may have run", a, timedOut)
		}
	}
	if requests, accepted := f.counts(); requests != sent || accepted != sent {
		t.Errorf("%d requests arrived on %d connections, want %d, each on its own", requests, accepted, sent)
	}
	probed := make(chan bool, 1)
	go func() { probed <- s.Probe(t.Context(), f.server(), "/health") }()
	select {
	case works := <-probed:
		if works {
			t.Error("the backend server counts as working")
		}
	case <-time.After(brokenTimeout):
		t.Error("the probe has not ended")
	}
	if n := heard.Load(); n > 0 && !hears {
		t.Errorf("%d notices were heard, want none", n)
	}
}

// TestInvalidStatusIsNoAnswer guards against a backend server that answers with the status 000
// or another one that doesn't exist, and whose answer is passed on, or whose probe succeeds.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	checkBroken(t, rawtcp.InvalidStatuses, false)
}

// TestInvalidFieldIsNoAnswer guards against a backend server that answers with a blank or a
// control byte in the name of a field, and whose answer is passed on, or whose probe succeeds.
func TestInvalidFieldIsNoAnswer(t *testing.T) {
	checkBroken(t, rawtcp.InvalidFields, false)
}

// TestInvalidTrailerIsNoAnswer guards against the same in the trailer behind a body. The head is that
// of an answer.
func TestInvalidTrailerIsNoAnswer(t *testing.T) {
	checkBroken(t, rawtcp.InvalidTrailers, true)
}

// TestUnusualAnswerIsTaken guards against an answer of a sound backend server that is lost since
// few others send such a head. One without a length can't be known to be whole and never counts.
func TestUnusualAnswerIsTaken(t *testing.T) {
	answers := rawtcp.UnusualAnswers("")
	maps.Copy(answers, rawtcp.WholeAnswers(""))
	for name, w := range answers {
		if w.Unframed && w.Method != http.MethodHead {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := serve(t, func(int, *http.Request, []byte) (string, bool) { return w.Text, false })
			s := newSender()
			if a := send(t, s, f, request(w.Method, "")); a.Response == nil || a.Verdict != snipefront.Ran {
				t.Errorf("%q gave %+v, want an answer", w.Text, a)
			}
			if w.Method == http.MethodGet && name != "unassigned status" && !s.Probe(t.Context(), f.server(), "/health") {
				t.Error("the backend server counts as not working")
			}
		})
	}
}
