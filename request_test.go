package snipefront_test

import (
	"net/http"
	"testing"

	"github.com/snipefront/snipefront"
)

// TestFingerprintIsThatOfResends guards against a request that crashes backend servers and
// is not recognized, since it comes with another idempotency key, and against other
// requests that are taken for it.
func TestFingerprintIsThatOfResends(t *testing.T) {
	request := func(host, method, target, key, body string) *snipefront.Request {
		r := &snipefront.Request{Method: method, Target: target, IdempotencyKey: key, Body: []byte(body), Header: http.Header{}}
		if host != "" {
			r.Header.Set("Host", host)
		}
		return r
	}
	first := request("a", http.MethodPost, "/1", "k", "body")
	if resend := request("A", http.MethodPost, "/1", "other", "body"); resend.ContentFingerprint() != first.ContentFingerprint() {
		t.Error("a resend with another key has another fingerprint")
	} else if resend.KeyFingerprint() == first.KeyFingerprint() {
		t.Error("another key has the same fingerprint for a claim")
	}
	for _, other := range []*snipefront.Request{
		request("b", http.MethodPost, "/1", "k", "body"), request("", http.MethodPost, "/1", "k", "body"), request("a", http.MethodPut, "/1", "k", "body"),
		request("a", http.MethodPost, "/2", "k", "body"), request("a", http.MethodPost, "/1", "k", "bodY"),
	} {
		if other.ContentFingerprint() == first.ContentFingerprint() {
			t.Errorf("%s %s of host %q has the fingerprint of another request", other.Method, other.Target, other.Header.Get("Host"))
		}
	}
}
