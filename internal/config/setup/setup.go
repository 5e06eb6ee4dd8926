// Package setup reads the settings of one instance from a JSON file. The process
// reads it once, when it starts.
//
// Settings define the identity of the instance, the addresses on which it listens,
// and the members of the control quorum. Whatever operators change while the system
// runs is an intent instead, and all instances receive it from the quorum.
package setup

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/strict"
)

// Defaults and bounds.
const (
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultLease          = 2 * time.Second
	DefaultRenew          = 400 * time.Millisecond

	maxMaxBodyBytes   = 1 << 30
	minMaxHeaderBytes = 1 << 10
	maxMaxHeaderBytes = 1 << 20
	minRenew          = 10 * time.Millisecond
	maxLease          = time.Minute
	minRenewsPerLease = 3
	maxControlMembers = 9
	// minBodies is how many of the longest bodies MemoryBytes must hold.
	minBodies = 4
)

const logLevelExpected = "Debug, Info, Warn or Error"

// Problem is one mistake in the settings.
type Problem = strict.Problem

// ControlMember is an instance of the control quorum.
type ControlMember struct {
	Instance    string
	PeerAddress string
}

// Settings are the settings of one instance.
type Settings struct {
	// Instance is the name of this instance, unique in the fleet.
	Instance string
	// DataCentre is where this instance runs.
	DataCentre string
	// CallerAddress is host:port for callers and backend servers. It is sent to
	// callers, so it is never an unspecified address such as 0.0.0.0.
	CallerAddress string
	// PeerAddress is host:port for other instances.
	PeerAddress string
	// OperatorAddress is host:port for operators and metrics.
	OperatorAddress string
	// DataFolder holds the files of a member of the control quorum. It is empty on
	// all other instances.
	DataFolder string
	// Control lists the members of the control quorum, 1 to 9 instances, each once.
	// An even number tolerates no more failures than the odd number below it.
	Control []ControlMember
	// MaxBodyBytes is the most bytes in the body of a request.
	MaxBodyBytes int64
	// MaxHeaderBytes is the most bytes in the header of a request.
	MaxHeaderBytes int
	// MemoryBytes is the memory that the process may use, in bytes: at least 4 times
	// MaxBodyBytes. Zero means as little as that, but at least the default, and leaves the
	// heap of the process without a limit.
	MemoryBytes int64
	// Lease is how long a membership lease lasts: at least 3 times Renew and at
	// most one minute.
	Lease time.Duration
	// Renew is the time between renewals of the lease.
	Renew time.Duration
	// LogLevel is the minimum level of log messages: Debug, Info, Warn or Error.
	LogLevel string
}

// Level returns LogLevel as a slog.Level, or slog.LevelInfo if log/slog cannot parse it.
func (s *Settings) Level() slog.Level {
	var l slog.Level
	if l.UnmarshalText([]byte(s.LogLevel)) != nil {
		return slog.LevelInfo
	}
	return l
}

// Memory returns the memory from which the bounds on bodies follow, in bytes.
func (s *Settings) Memory() int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}
	return max(snipefront.DefaultMemoryBytes, minBodies*s.MaxBodyBytes)
}

// IsControl reports whether the instance is a member of the control quorum.
func (s *Settings) IsControl() bool {
	for _, c := range s.Control {
		if c.Instance == s.Instance {
			return true
		}
	}
	return false
}

// ProblemsError is returned by Load for a file with problems.
type ProblemsError struct {
	// Problems holds at least one problem.
	Problems []Problem
}

// Error returns the problems, one a line.
func (e *ProblemsError) Error() string { return strict.Lines(e.Problems) }

// Load reads the settings from the file at path. If the file can be read but has
// problems, the error is a *ProblemsError.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, problems := Parse(filepath.Base(path), content)
	if len(problems) > 0 {
		return Settings{}, &ProblemsError{Problems: problems}
	}
	return s, nil
}

// Parse returns the settings in content, with defaults for fields that are not set, or
// all problems of content. name is the file name that the problems show.
func Parse(name string, content []byte) (Settings, []Problem) {
	s := Settings{
		MaxBodyBytes:   DefaultMaxBodyBytes,
		MaxHeaderBytes: DefaultMaxHeaderBytes,
		Lease:          DefaultLease,
		Renew:          DefaultRenew,
		LogLevel:       "Info",
	}
	d := &strict.Decoder{File: name}
	d.Decode(content, &s)
	s.checkIdentity(d)
	s.checkControl(d)
	s.checkLimits(d)
	if len(d.Problems) > 0 {
		return Settings{}, d.Problems
	}
	return s, nil
}

func (s *Settings) checkIdentity(d *strict.Decoder) {
	d.Require(strict.IsName(s.Instance), "Instance", s.Instance, strict.NameExpected)
	d.Require(strict.IsName(s.DataCentre), "DataCentre", s.DataCentre, strict.NameExpected)
	d.Require(strict.IsAddress(s.CallerAddress), "CallerAddress", s.CallerAddress, strict.AddressExpected)
	d.Require(strict.IsAddress(s.PeerAddress), "PeerAddress", s.PeerAddress, strict.AddressExpected)
	d.Require(strict.IsAddress(s.OperatorAddress), "OperatorAddress", s.OperatorAddress, strict.AddressExpected)
	const expected = "an address that no other field has"
	d.Require(!sameAddress(s.PeerAddress, s.CallerAddress), "PeerAddress", s.PeerAddress, expected)
	operatorShared := sameAddress(s.OperatorAddress, s.CallerAddress) || sameAddress(s.OperatorAddress, s.PeerAddress)
	d.Require(!operatorShared, "OperatorAddress", s.OperatorAddress, expected)
}

func (s *Settings) checkControl(d *strict.Decoder) {
	d.Require(len(s.Control) >= 1 && len(s.Control) <= maxControlMembers, "Control",
		fmt.Sprintf("%d instances", len(s.Control)), fmt.Sprintf("1 to %d instances", maxControlMembers))
	for i, c := range s.Control {
		instance := fmt.Sprintf("Control[%d].Instance", i)
		address := fmt.Sprintf("Control[%d].PeerAddress", i)
		d.Require(strict.IsName(c.Instance), instance, c.Instance, strict.NameExpected)
		d.Require(strict.IsAddress(c.PeerAddress), address, c.PeerAddress, strict.AddressExpected)
		for _, other := range s.Control[:i] {
			d.Require(other.Instance != c.Instance, instance, c.Instance, "an instance that Control does not list already")
			d.Require(!sameAddress(other.PeerAddress, c.PeerAddress), address, c.PeerAddress,
				"an address that Control does not list already")
		}
		if c.Instance == s.Instance {
			d.Require(c.PeerAddress == s.PeerAddress, address, c.PeerAddress,
				"the PeerAddress of this instance, "+s.PeerAddress)
		}
	}
	if s.IsControl() {
		d.Require(s.DataFolder != "", "DataFolder", s.DataFolder, "a folder, since Control lists this instance")
		return
	}
	d.Require(s.DataFolder == "", "DataFolder", s.DataFolder, "no folder, since Control does not list this instance")
}

func (s *Settings) checkLimits(d *strict.Decoder) {
	d.Require(s.MaxBodyBytes >= 1 && s.MaxBodyBytes <= maxMaxBodyBytes, "MaxBodyBytes", s.MaxBodyBytes,
		fmt.Sprintf("1 to %d", maxMaxBodyBytes))
	d.Require(s.MemoryBytes == 0 || s.MemoryBytes >= minBodies*s.MaxBodyBytes, "MemoryBytes", s.MemoryBytes,
		fmt.Sprintf("at least %d times MaxBodyBytes (%d)", minBodies, s.MaxBodyBytes))
	headerOK := s.MaxHeaderBytes >= minMaxHeaderBytes && s.MaxHeaderBytes <= maxMaxHeaderBytes
	d.Require(headerOK, "MaxHeaderBytes", s.MaxHeaderBytes,
		fmt.Sprintf("%d to %d", minMaxHeaderBytes, maxMaxHeaderBytes))
	d.Require(s.Renew >= minRenew, "Renew", s.Renew, fmt.Sprintf("at least %v", minRenew))
	d.Require(s.Lease <= maxLease && s.Lease >= minRenewsPerLease*s.Renew, "Lease", s.Lease,
		fmt.Sprintf("%d times Renew (%v) to %v", minRenewsPerLease, s.Renew, maxLease))
	switch s.LogLevel {
	case "Debug", "Info", "Warn", "Error":
	default:
		d.Add("LogLevel", s.LogLevel, logLevelExpected)
	}
}

// sameAddress reports whether a and b are the same IP address and port, so that only
// one socket can listen on them. Port 0 is a different free port each time.
func sameAddress(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	return errX == nil && errY == nil && x == y && x.Port() != 0
}
