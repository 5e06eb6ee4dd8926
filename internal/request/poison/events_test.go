package poison_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/snipefront/snipefront/internal/request/poison"
)

// eventCounter counts events.
type eventCounter map[poison.Event]int

// Suspect implements poison.Counter.
func (c eventCounter) Suspect(e poison.Event) { c[e]++ }

// TestLogTellsWhoSawWhichCrash guards against logs from which the story of one request
// can't be told: which crashes were seen with it in flight, which of them here and which
// by others, when its quarantine began, which answer of which backend server ended a
// suspicion, and which crash is tied to no request.
func TestLogTellsWhoSawWhichCrash(t *testing.T) {
	var text bytes.Buffer
	counted := eventCounter{}
	g := poison.Register{Counter: counted, Logger: slog.New(slog.NewTextHandler(&text, nil))}
	g.ConnectionBroke(start, 7, server("a", 3))
	g.Crashed(start, server("a", 3))
	g.Merge(start, []poison.Record{{Fingerprint: 7, Crashed: []poison.Server{server("b", 4)}, Left: 1e9}})
	g.ConnectionBroke(start, 8, server("a", 3))
	g.Crashed(start, server("a", 3))
	g.Answered(start, 8, poison.Answer{Server: server("c", 5), Status: 500, Signed: true})
	g.Ended(start, server("d", 6), false)
	for _, want := range []string{
		`msg="suspect crash" fingerprint=7 why=a`, `msg="suspect learned" fingerprint=7 why=b`, "a/3 b/4",
		`msg="suspect quarantined" fingerprint=7`, `msg="suspect released" fingerprint=8 why="answered by c/5 status=500 signed=true"`, `msg="crash untied" server=d`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no line with %s in\n%s", want, text.String())
		}
	}
	for event, want := range map[poison.Event]int{poison.EventCrash: 2, poison.EventLearned: 1, poison.EventQuarantined: 1, poison.EventReleased: 1, poison.EventUntied: 1} {
		if counted[event] != want {
			t.Errorf("event %s counted %d times, want %d", event, counted[event], want)
		}
	}
	if e, ok := g.Evidence(start, 7); !ok || len(e.Crashed) != 2 {
		t.Errorf("the evidence is %v, want two crashes", e)
	}
}
