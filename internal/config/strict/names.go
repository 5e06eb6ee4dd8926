package strict

import (
	"net/netip"
	"strings"
)

// maxNameBytes is the maximum length of a DNS label.
const maxNameBytes = 63

// NameExpected describes what IsName accepts.
const NameExpected = "1 to 63 lower-case letters, digits and dashes"

// IsName reports whether s is valid as the name of a service, a data centre or an
// instance.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		if !isLowerOrDigit(c) && c != '-' {
			return false
		}
	}
	return true
}

// ServerNameExpected describes what IsServerName accepts.
const ServerNameExpected = "1 to 63 letters, digits and any of .-_:"

// IsServerName reports whether s is valid as the name of a backend server. It allows
// more characters than IsName, because a backend server chooses its own name and may
// use its host name or address.
func IsServerName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		if !isLowerOrDigit(c) && (c < 'A' || c > 'Z') && !strings.ContainsRune(".-_:", c) {
			return false
		}
	}
	return true
}

// AddressExpected describes what IsAddress accepts.
const AddressExpected = "an IP address and port such as 127.0.0.1:8080"

// IsAddress reports whether s is an IP address and port to which others can connect:
// neither unspecified (such as 0.0.0.0) nor multicast. Port 0 is accepted.
func IsAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func isLowerOrDigit(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}
