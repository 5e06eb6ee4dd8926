package answer_test

import (
	"testing"

	"github.com/snipefront/snipefront/internal/stand/answer"
)

func TestAnyCutOrChangeIsFound(t *testing.T) {
	q := answer.Question{Target: "/balance/copier/17", IdempotencyKey: "k", RequestID: "r", Body: []byte("b")}
	whole := q.Answer()
	if got := q.Check(whole); got != answer.Whole {
		t.Errorf("whole answer: %v", got)
	}
	for n := range whole {
		if got := q.Check(whole[:n]); got != answer.CutShort {
			t.Errorf("cut to %d bytes: %v", n, got)
		}
		b := append([]byte(nil), whole...)
		b[n] ^= 1
		if got := q.Check(b); got != answer.CutShort {
			t.Errorf("changed at byte %d: %v", n, got)
		}
	}
	for _, other := range []answer.Question{
		{Target: "/balance/copier/1", IdempotencyKey: "k", RequestID: "r", Body: q.Body},
		{Target: q.Target, IdempotencyKey: "l", RequestID: "r", Body: q.Body},
		{Target: q.Target, IdempotencyKey: "k", RequestID: "s", Body: q.Body},
		{Target: q.Target, IdempotencyKey: "k", RequestID: "r"},
	} {
		if got := q.Check(other.Answer()); got != answer.Crossed {
			t.Errorf("answer to %+v: %v", other, got)
		}
	}
}
