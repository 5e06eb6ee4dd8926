// Package memlog is a log of one replica in memory, which forgets everything at a
// restart. It serves tests and benchmarks of what a log drives.
package memlog

import (
	"context"
	"sync"

	"github.com/snipefront/snipefront"
)

// Log implements snipefront.Log over Machine.
type Log struct {
	// Name is the instance, which always leads.
	Name string
	// Machine is driven by the log. It must be set.
	Machine snipefront.StateMachine

	mu    sync.Mutex
	index uint64
}

// Propose applies command at once.
func (l *Log) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.Machine.Apply(l.index, command), nil
}

// Leadership returns that this instance leads.
func (l *Log) Leadership() snipefront.Leadership {
	return snipefront.Leadership{Leader: l.Name, Self: true, Term: 1}
}
