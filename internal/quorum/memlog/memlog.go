// Package memlog is a log with a single replica, which is kept in memory and lost at a
// restart. It is for tests and benchmarks of state machines and of their callers.
package memlog

import (
	"context"
	"sync"

	"github.com/snipefront/snipefront"
)

// Log implements snipefront.Log. Set the exported fields before use.
type Log struct {
	// Name is the name of this instance, which is always the leader.
	Name string
	// Machine is the state machine to which the log applies commands.
	Machine snipefront.StateMachine

	mu    sync.Mutex
	index uint64
}

// Propose immediately applies command to Machine and returns its result. The error is
// always nil.
func (l *Log) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.Machine.Apply(l.index, command), nil
}

// Leadership reports this instance as the leader in term 1.
func (l *Log) Leadership() snipefront.Leadership {
	return snipefront.Leadership{Leader: l.Name, Self: true, Term: 1}
}
