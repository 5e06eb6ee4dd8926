package client

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/snipefront/snipefront/internal/config/strict"
)

// maxDetailBytes bounds the part of an unexpected answer that is repeated.
const maxDetailBytes = 200

// File is one intent in a call or an answer.
type File struct {
	Name    string
	Content json.RawMessage
}

// Config is the accepted folder.
type Config struct {
	Revision uint64
	Files    []File
}

// Change replaces the whole folder.
type Change struct {
	// ChangeID comes from the sender. A change that is sent again with the
	// same ID gets the first result.
	ChangeID string
	// Version is the revision to which the change applies.
	Version uint64
	Files   []File
}

// Accepted says how a change was accepted.
type Accepted struct {
	Revision uint64
	// Repeated is true where an earlier call had brought the change.
	Repeated bool
	// Warnings tell of what is accepted and perhaps not meant.
	Warnings []string
}

// History holds the remembered changes.
type History struct {
	Changes []PastChange
}

// PastChange is an accepted change.
type PastChange struct {
	Revision uint64
	ChangeID string
	// Written names the files that are new or different.
	Written []string
	// Removed names the files that are gone.
	Removed []string
}

// InForce says whether a revision is in force everywhere.
type InForce struct {
	Revision uint64
	InForce  bool
	// Waiting names the instances that neither confirmed the revision nor have
	// lost their lease.
	Waiting []string
}

// Status is the view that one instance has of the fleet.
type Status struct {
	// Instance is the one that answers.
	Instance string
	// Leader is empty where no leader is known.
	Leader string
	Term   uint64
	// Epoch is the newest epoch, Settled the newest that every member confirmed.
	Epoch    uint64
	Settled  uint64
	Revision uint64
	// Claims is the number of claims that the control quorum keeps.
	Claims int
	// LeaseMilliseconds is what is left of the instance's own lease.
	LeaseMilliseconds int64
	Members           []Member
	Cells             []Cell
}

// Lease returns what is left of the instance's own lease.
func (s *Status) Lease() time.Duration {
	return time.Duration(s.LeaseMilliseconds) * time.Millisecond
}

// Member is an instance of the epoch.
type Member struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// Epoch and Revision are the newest that the member confirmed.
	Epoch    uint64
	Revision uint64
}

// Cell is a cell with its owner.
type Cell struct {
	Service        string
	DataCentre     string
	Owner          string
	InFlight       int
	Queued         int
	Free           int
	BackendServers []BackendServer
}

// BackendServer is a backend server as the owner of its cell sees it.
type BackendServer struct {
	Name     string
	Address  string
	State    string
	Limit    int
	Slots    int
	InFlight int
	// Reason says why it gets no work. It is empty where it gets work.
	Reason string
}

// ConflictError says that another change has replaced the version that a
// change was made against.
type ConflictError struct {
	// Revision is the current one.
	Revision uint64
	// ChangeID is the change that won.
	ChangeID string
	Detail   string
}

// Error names the change that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s came first and made revision %d: %s", e.ChangeID, e.Revision, e.Detail)
}

// RefusedError says that a call was wrong and that nothing has changed.
type RefusedError struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	Detail string
	// Problems holds what is wrong with the files of a change.
	Problems []strict.Problem
}

// Error returns the problems, one a line, or the detail where there are none.
func (e *RefusedError) Error() string {
	if len(e.Problems) == 0 {
		return fmt.Sprintf("refused with status %d: %s", e.Status, e.Detail)
	}
	return strict.Lines(e.Problems)
}

// WaitingError says that a revision was not known to be in force in time.
type WaitingError struct {
	Revision uint64
	// Waiting names the instances that were waited for at last. It is empty
	// where no instance answered.
	Waiting []string
}

// Error names the instances.
func (e *WaitingError) Error() string {
	if len(e.Waiting) == 0 {
		return fmt.Sprintf("revision %d is accepted, but no instance said in time whether it is in force", e.Revision)
	}
	return fmt.Sprintf("revision %d is accepted, but not in force at %s", e.Revision, strings.Join(e.Waiting, ", "))
}

// unavailableError says that an attempt brought no final answer.
type unavailableError struct {
	cause error
	// retryAfter is what the instance asked for. Zero is nothing.
	retryAfter time.Duration
}

// Error returns the text of the cause.
func (e *unavailableError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unavailableError) Unwrap() error { return e.cause }
