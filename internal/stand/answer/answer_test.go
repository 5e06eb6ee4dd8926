package answer_test

import (
	"testing"

	"github.com/snipefront/snipefront/internal/stand/answer"
)

func TestCheckDetectsTruncatedDamagedAndMismatchedAnswers(t *testing.T) {
	q := answer.Request{Target: "/balance/copier/17", IdempotencyKey: "k", RequestID: "r", Body: []byte("b")}
	intact := q.Answer()
	if got := q.Check(intact); got != answer.Intact {
		t.Errorf("intact answer: %v", got)
	}
	for n := range intact {
		if got := q.Check(intact[:n]); got != answer.CutShort {
			t.Errorf("truncated to %d bytes: %v", n, got)
		}
		b := append([]byte(nil), intact...)
		b[n] ^= 1
		if got := q.Check(b); got != answer.CutShort {
			t.Errorf("changed at byte %d: %v", n, got)
		}
	}
	for _, other := range []answer.Request{
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
