package strict

import (
	"net/netip"
	"strings"
)

// maxNameBytes is the length of a DNS label.
const maxNameBytes = 63

// NameExpected describes what IsName accepts.
const NameExpected = "1 to 63 lower-case letters, digits and dashes"

// IsName reports whether s may name a service, a data centre or an instance.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		if !isLower(c) && c != '-' {
			return false
		}
	}
	return true
}

// ServerNameExpected describes what IsServerName accepts.
const ServerNameExpected = "1 to 63 letters, digits and any of .-_:"

// IsServerName reports whether s may name a backend server, which chooses its
// own name and may well use its host name or address.
func IsServerName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		if !isLower(c) && (c < 'A' || c > 'Z') && !strings.ContainsRune(".-_:", c) {
			return false
		}
	}
	return true
}

// AddressExpected describes what IsAddress accepts.
const AddressExpected = "an IP address and port such as 127.0.0.1:8080"

// IsAddress reports whether s is an IP address with a port, to which others
// can connect. Port 0 is accepted.
func IsAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func isLower(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}
