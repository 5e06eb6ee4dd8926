package pool_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/entry/header"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

const (
	// mutationSeed and mutations are the seed and the number of the heads that are tried.
	mutationSeed, mutations = 57, 3000
	// minTaken is the least number of them that must be taken, so that the test tests something.
	minTaken = mutations / 10
)

// The grammar of RFC 9112 for a status line, as it must be and as it may be taken, and for the name of
// a field.
var (
	looseStatus  = regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9][0-9]( |$)`)
	strictStatus = regexp.MustCompile(`^HTTP/1\.1 [2-5][0-9][0-9] [\t\x20-\x7e]*$`)
	strictName   = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+$")
)

// isControl reports whether a byte is a control byte other than a tab.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// mutate changes some bytes of a text.
func mutate(random *rand.Rand, text []byte) []byte {
	special := []byte(" \t\r\n:\x00\x01\x7f\xff0169+-,;x")
	text = slices.Clone(text)
	for range 1 + random.IntN(3) {
		i, b := random.IntN(len(text)), special[random.IntN(len(special))]
		switch random.IntN(3) {
		case 0:
			text[i] = b
		case 1:
			text = slices.Insert(text, i, b)
		default:
			text = slices.Delete(text, i, i+1)
		}
	}
	return text
}

// checkStrict returns what is wrong with the bytes that a caller has got as its answer.
func checkStrict(text []byte) error {
	head, body, whole := bytes.Cut(text, []byte("\r\n\r\n"))
	if !whole {
		return fmt.Errorf("no end of the head")
	}
	lines := strings.Split(string(head), "\r\n")
	if !strictStatus.MatchString(lines[0]) {
		return fmt.Errorf("status line %q", lines[0])
	}
	length := 0
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		if !strictName.MatchString(name) || slices.ContainsFunc([]byte(value), isControl) {
			return fmt.Errorf("field %q", line)
		}
		if strings.EqualFold(name, "Transfer-Encoding") {
			return fmt.Errorf("field %q beside a length", line)
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "Content-Length") {
			length = n
		}
	}
	if len(body) != length {
		return fmt.Errorf("a body of %d bytes, its length is %d", len(body), length)
	}
	return nil
}

// checkTaken returns what is wrong with the heads of a text that was taken for an answer, those of its
// interim answers included. Lines may end with LF alone, and values may be folded.
func checkTaken(text []byte) error {
	for rest := string(text); ; {
		line, after, _ := strings.Cut(rest, "\n")
		rest = after
		status := strings.TrimSuffix(line, "\r")
		if !looseStatus.MatchString(status) || strings.Fields(status)[1] == "101" {
			return fmt.Errorf("status line %q", status)
		}
		for {
			line, after, _ = strings.Cut(rest, "\n")
			rest = after
			line = strings.TrimSuffix(line, "\r")
			if line == "" {
				break
			}
			if name, _, _ := strings.Cut(line, ":"); !strings.HasPrefix(line, " ") && !strings.HasPrefix(line, "\t") && !strictName.MatchString(name) {
				return fmt.Errorf("field %q", line)
			}
		}
		if !strings.HasPrefix(strings.Fields(status)[1], "1") {
			return nil
		}
	}
}

// mutationStand is a backend server that answers with the current text, and a server of callers that
// passes on what an exchange with it takes.
type mutationStand struct {
	backend, entry string

	mu   sync.Mutex
	text []byte
}

// answer writes the current text and closes the connection.
func (s *mutationStand) answer(c net.Conn, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = c.Write(s.text)
	c.Close()
}

// pass runs an exchange with the backend server and returns the answer for the caller.
func (s *mutationStand) pass(ctx context.Context, _ *pipe.Request) pipe.Answer {
	c, err := (&pool.Pool{}).Dial(ctx, s.backend)
	if err != nil {
		return pipe.Answer{Status: http.StatusGatewayTimeout}
	}
	e := &pool.Exchange{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Method: http.MethodGet, MaxBytes: 1 << 10}
	if _, err := e.Do(ctx, c); err != nil {
		return pipe.Answer{Status: http.StatusBadGateway}
	}
	h := header.EndToEnd(e.Response.Header)
	h.Del("Content-Length")
	h.Set("Taken", "1")
	return pipe.Answer{Status: e.Response.StatusCode, Header: h, Body: e.Answer}
}

// ask returns the bytes that a caller gets when the backend server answers with text.
func (s *mutationStand) ask(t *testing.T, text []byte) []byte {
	t.Helper()
	s.mu.Lock()
	s.text = text
	s.mu.Unlock()
	c, err := net.Dial("tcp", s.entry)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func newMutationStand(t *testing.T) *mutationStand {
	t.Helper()
	s := &mutationStand{}
	s.backend = serve(t, rawtcp.HTTPHandler(s.answer))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.entry = l.Addr().String()
	server := &pipe.Server{
		Handler: mutationHandler(s.pass), Logger: slog.New(slog.DiscardHandler),
		Limits: func() snipefront.CallerLimits {
			return snipefront.CallerLimits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// mutationHandler is a pipe.Handler that refuses nothing.
type mutationHandler func(ctx context.Context, r *pipe.Request) pipe.Answer

// Refuse implements pipe.Handler.
func (mutationHandler) Refuse(*http.Request) (pipe.Answer, bool) { return pipe.Answer{}, false }

// RefuseForMemory implements pipe.Handler.
func (mutationHandler) RefuseForMemory(*http.Request) pipe.Answer { return pipe.Answer{} }

// Handle implements pipe.Handler.
func (h mutationHandler) Handle(ctx context.Context, r *pipe.Request) pipe.Answer { return h(ctx, r) }

// TestCallersGetStrictAnswers guards against bytes of a backend server that are taken for an answer
// though they are none, or that a caller gets in a form that isn't HTTP. It changes some bytes of
// sound answers.
func TestCallersGetStrictAnswers(t *testing.T) {
	sound := rawtcp.UnusualAnswers("Id: 1\r\n")
	maps.Copy(sound, rawtcp.WholeAnswers("Id: 1\r\n"))
	maps.DeleteFunc(sound, func(_ string, w rawtcp.Whole) bool { return w.Method != http.MethodGet })
	names := slices.Sorted(maps.Keys(sound))
	random := rand.New(rand.NewPCG(mutationSeed, 0))
	s := newMutationStand(t)
	taken := 0
	for range mutations {
		text := mutate(random, []byte(sound[names[random.IntN(len(names))]].Text))
		got := s.ask(t, text)
		if err := checkStrict(got); err != nil {
			t.Errorf("%q became %q: %v", text, got, err)
		}
		if bytes.Contains(got, []byte("Taken: 1")) {
			taken++
			if err := checkTaken(text); err != nil {
				t.Errorf("%q was taken: %v", text, err)
			}
		}
	}
	t.Logf("%d of %d were taken", taken, mutations)
	if taken < minTaken {
		t.Errorf("%d of %d were taken, want %d at least", taken, mutations, minTaken)
	}
}
