package edge

import (
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/link"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// The shares of the memory of an instance. The rest is for all else: its code and goroutines,
// connections, the state of the fleet, and the work of the garbage collector.
const (
	longBodiesShare   = 0.37
	shortBodiesShare  = 0.05
	longAnswersShare  = 0.25
	shortAnswersShare = 0.05
)

// bodyWait is how long a request waits for the memory of earlier ones to be collected.
const bodyWait = 100 * time.Millisecond

// memory bounds the bodies that an instance holds.
type memory struct {
	requests *bound.Memory
	answers  *bound.Memory
}

// newMemory shares Settings.MemoryBytes out. A request for which there is no memory is
// refused soon. An answer waits until its deadline, since its request has run.
func newMemory(s Settings) memory {
	share := func(f float64) int64 { return int64(f * float64(s.MemoryBytes)) }
	return memory{
		requests: &bound.Memory{Limit: share(longBodiesShare), Reserve: share(shortBodiesShare), Wait: bodyWait},
		answers:  &bound.Memory{Limit: share(longAnswersShare), Reserve: share(shortAnswersShare), Spare: link.MaxAnswerBytes},
	}
}
