package client

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/snipefront/snipefront/internal/config/strict"
)

// maxDetailBytes is the length to which an error response that is not JSON is
// truncated in an error message.
const maxDetailBytes = 200

// File is one intent in a request or a response.
type File struct {
	Name    string
	Content json.RawMessage
}

// Config is the accepted folder of intents.
type Config struct {
	Revision uint64
	Files    []File
}

// Change replaces the whole folder of intents.
type Change struct {
	// ChangeID is an ID that the sender sets. A change that is resent with the same ID
	// gets the result of the first one.
	ChangeID string
	// Version is the revision that the change replaces. If it is not the current one,
	// the result is a *ConflictError.
	Version uint64
	Files   []File
}

// Accepted is the result of an accepted change.
type Accepted struct {
	// Revision is the one that the change created.
	Revision uint64
	// Repeated is true if an earlier call had already made the change.
	Repeated bool
	// Warnings describe parts of the change that were accepted but may be mistakes.
	Warnings []string
}

// History holds the accepted changes that the fleet still stores, oldest first.
type History struct {
	Changes []PastChange
}

// PastChange is an accepted change.
type PastChange struct {
	// Revision is the one that the change created.
	Revision uint64
	ChangeID string
	// Written holds the names of the files that the change added or modified.
	Written []string
	// Removed holds the names of the files that the change removed.
	Removed []string
}

// InForce reports whether a revision is in force everywhere: confirmed by every
// instance that may hold a lease.
type InForce struct {
	Revision uint64
	InForce  bool
	// Waiting holds the names of the instances that have not confirmed the revision
	// and may still hold a lease.
	Waiting []string
}

// Status is the state of the fleet as one instance knows it.
type Status struct {
	// Instance is the name of the instance that sent the response.
	Instance string
	// Leader is the name of the leader of the control quorum, empty if unknown.
	Leader string
	Term   uint64
	// Epoch and Revision are the newest that the instance has applied. Settled is the
	// newest epoch that every lease holder has confirmed, or 0 if it is not known.
	Epoch    uint64
	Settled  uint64
	Revision uint64
	// Claims is the number of claims that the control quorum stores.
	Claims int
	// LeaseMilliseconds is the remaining time of the instance's own lease.
	LeaseMilliseconds int64
	Members           []Member
	Cells             []Cell
}

// Lease returns the remaining time of the instance's own lease.
func (s *Status) Lease() time.Duration {
	return time.Duration(s.LeaseMilliseconds) * time.Millisecond
}

// Member is an instance that holds a lease.
type Member struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// Epoch and Revision are the newest that the member has confirmed.
	Epoch    uint64
	Revision uint64
}

// Cell is the state of a cell: the backend servers of a service in a data centre.
type Cell struct {
	Service    string
	DataCentre string
	// Owner is the name of the instance that dispatches to the cell. The fields below
	// come from the owner, as far as it responds.
	Owner    string
	InFlight int
	Queued   int
	// Free is the number of free slots.
	Free           int
	BackendServers []BackendServer
}

// BackendServer is the state of a backend server at the owner of its cell.
type BackendServer struct {
	Name    string
	Address string
	// State is "ready" or "draining".
	State string
	// Limit is the number of requests at once that the owner allows, Slots the number
	// that the backend server announced.
	Limit    int
	Slots    int
	InFlight int
	// Reason says why the backend server receives no requests. It is empty if it does.
	Reason string
}

// ConflictError is returned if another change has already replaced the revision that
// a change was made against.
type ConflictError struct {
	// Revision is the current one.
	Revision uint64
	// ChangeID identifies the change that was accepted instead.
	ChangeID string
	Detail   string
}

// Error returns a message with the change that was accepted instead.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s came first and made revision %d: %s", e.ChangeID, e.Revision, e.Detail)
}

// RefusedError is returned if a call was invalid. The call has changed nothing.
type RefusedError struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	Detail string
	// Problems holds the mistakes in the files of a change.
	Problems []strict.Problem
}

// Error returns the problems, one per line, or the detail if there are none.
func (e *RefusedError) Error() string {
	if len(e.Problems) == 0 {
		return fmt.Sprintf("refused with status %d: %s", e.Status, e.Detail)
	}
	return strict.Lines(e.Problems)
}

// NotInForceError is returned if the context ended before a revision was known to be
// in force.
type NotInForceError struct {
	Revision uint64
	// Waiting is the field InForce.Waiting of the last response. It is empty if there
	// was no response, or if the response named no instance.
	Waiting []string
}

// Error returns a message with the instances that have not confirmed the revision.
func (e *NotInForceError) Error() string {
	if len(e.Waiting) == 0 {
		return fmt.Sprintf("revision %d is accepted, but no instance reported in time whether it is in force", e.Revision)
	}
	return fmt.Sprintf("revision %d is accepted, but not in force at %s", e.Revision, strings.Join(e.Waiting, ", "))
}

// retryableError is returned by an attempt that got no final response.
type retryableError struct {
	cause error
	// retryAfter is the delay that the Retry-After header field asks for, at most
	// maxRetryAfter. It is zero if there is none.
	retryAfter time.Duration
}

// Error returns the message of the cause.
func (e *retryableError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *retryableError) Unwrap() error { return e.cause }
