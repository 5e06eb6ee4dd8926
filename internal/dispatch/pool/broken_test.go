package pool_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"

	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// brokenFields are the fields of an answer that would make it the one to the request.
const brokenFields = "Id: 1\r\n"

// exchangeRaw runs an exchange with a backend server that answers with text and closes the
// connection, or keeps it open. It reports how the exchange ended, how many heads it heard, and
// whether it used all of its time.
func exchangeRaw(t *testing.T, method, text string, closes bool) (e *pool.Exchange, reusable bool, heard int, timedOut bool, err error) {
	t.Helper()
	address := serve(t, serveAnswers(func(c net.Conn, _ string) {
		_, _ = io.WriteString(c, text)
		if closes {
			c.Close()
		}
	}))
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	c, err := (&pool.Pool{}).Get(ctx, address, false)
	if err != nil {
		t.Fatal(err)
	}
	e = &pool.Exchange{
		Head: []byte(method + " / HTTP/1.1\r\nHost: x\r\nId: 1\r\n\r\n"), Method: method, IDField: "Id", ID: "1", MaxBytes: 100,
		Heard: func(int, http.Header) { heard++ },
	}
	reusable, err = e.Do(ctx, c)
	return e, reusable, heard, ctx.Err() != nil, err
}

// checkBroken checks that none of the answers is taken, or held until the deadline, and that
// their connections aren't used again. most is the number of heads that may be heard.
func checkBroken(t *testing.T, answers map[string]string, most int) {
	for name, text := range answers {
		for _, closes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, closed %v", name, closes), func(t *testing.T) {
				t.Parallel()
				e, reusable, heard, timedOut, err := exchangeRaw(t, http.MethodGet, text, closes)
				if err == nil {
					t.Errorf("%q is taken as the answer %d with %q", text, e.Response.StatusCode, e.Answer)
				}
				if timedOut {
					t.Errorf("%q ended at the deadline with %v, want at once", text, err)
				}
				if reusable {
					t.Error("the connection is used again")
				}
				if heard > most {
					t.Errorf("%d heads were heard, want %d", heard, most)
				}
			})
		}
	}
}

// TestInvalidStatusIsNoAnswer guards against a backend server that answers with the status 000
// or another one that doesn't exist: it was passed on, or read over like an interim answer, so
// that its request waited until the deadline or got the bytes behind it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	checkBroken(t, rawtcp.InvalidStatuses(brokenFields), 0)
}

// TestInvalidFieldIsNoAnswer guards against a backend server that answers with a blank or a
// control byte in the name of a field: where that field is the length or the coding of the body,
// callers got a body that isn't that of the backend server.
func TestInvalidFieldIsNoAnswer(t *testing.T) {
	checkBroken(t, rawtcp.InvalidFields(brokenFields), 0)
}

// TestInvalidTrailerIsNoAnswer guards against the same in the trailer behind a body. The head is that
// of an answer.
func TestInvalidTrailerIsNoAnswer(t *testing.T) {
	checkBroken(t, rawtcp.InvalidTrailers(brokenFields), 1)
}

// TestUnusualAnswerIsTaken guards against an answer of a sound backend server that is lost since
// few others send such a head.
func TestUnusualAnswerIsTaken(t *testing.T) {
	answers := rawtcp.UnusualAnswers(brokenFields)
	maps.Copy(answers, rawtcp.WholeAnswers(brokenFields))
	for name, w := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, _, heard, _, err := exchangeRaw(t, w.Method, w.Text, true)
			if err != nil || heard != 1 || e.Response.StatusCode < http.StatusOK {
				t.Fatalf("%q gave %v, %d heads heard, want an answer", w.Text, err, heard)
			}
			want := "ok"
			if e.Response.ContentLength == 0 || e.Response.StatusCode == http.StatusNotModified || w.Method == http.MethodHead {
				want = ""
			}
			if string(e.Answer) != want {
				t.Errorf("%q gave the body %q, want %q", w.Text, e.Answer, want)
			}
		})
	}
}
