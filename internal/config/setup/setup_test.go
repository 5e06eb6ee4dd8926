package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/config/setup"
)

const validSettings = `{
	"Instance": "a1", "DataCentre": "dc1",
	"CallerAddress": "127.0.0.1:8080", "PeerAddress": "127.0.0.1:8081", "OperatorAddress": "127.0.0.1:0",
	"DataFolder": "data",
	"Control": [{"Instance": "a1", "PeerAddress": "127.0.0.1:8081"}],
	"Lease": "1500ms", "Renew": "300ms"
}`

const invalidSettings = `{
	"Instance": "A1", "Instance": "a2", "DataCentre": 7, "datacentre": "dc1",
	"CallerAddress": "localhost:8080", "PeerAddress": "127.0.0.1:8081", "OperatorAddress": "127.0.0.1:8081",
	"DataFolder": "data",
	"Control": [{"Instance": "a1", "PeerAddress": "0.0.0.0:1"}, {"Instance": "a1", "Address": null}, 3],
	"Lease": "1s", "Renew": "400ms", "MaxBodyBytes": 1.5, "MaxHeaderBytes": 0, "MemoryBytes": 5, "LogLevel": "Loud"
}`

const wantProblems = `s.json: Field "Instance" is "a2", want the field only once
s.json: Field "DataCentre" is "7", want a string
s.json: Field "datacentre" is "dc1", want one of the fields Instance, DataCentre, CallerAddress, PeerAddress, OperatorAddress, DataFolder, Control, MaxBodyBytes, MaxHeaderBytes, MemoryBytes, Lease, Renew, LogLevel
s.json: Field "Control[1].Address" is "null", want one of the fields Instance, PeerAddress
s.json: Field "Control[2]" is "3", want a JSON object
s.json: Field "MaxBodyBytes" is "1.5", want a whole number
s.json: Field "CallerAddress" is "localhost:8080", want an IP address and port such as 127.0.0.1:8080
s.json: Field "OperatorAddress" is "127.0.0.1:8081", want an address that no other field has
s.json: Field "Control[0].PeerAddress" is "0.0.0.0:1", want an IP address and port such as 127.0.0.1:8080
s.json: Field "Control[1].PeerAddress" is "", want an IP address and port such as 127.0.0.1:8080
s.json: Field "Control[1].Instance" is "a1", want an instance that Control does not list already
s.json: Field "DataFolder" is "data", want no folder, since Control does not list this instance
s.json: Field "MemoryBytes" is "5", want at least 4 times MaxBodyBytes (1048576)
s.json: Field "MaxHeaderBytes" is "0", want 1024 to 1048576
s.json: Field "Lease" is "1s", want 3 times Renew (400ms) to 1m0s
s.json: Field "LogLevel" is "Loud", want Debug, Info, Warn or Error
`

// TestLoadKeepsSetFieldsAndFillsInDefaults guards against defaults that replace the
// fields of the file, and against fields without a value if the file does not set them.
func TestLoadKeepsSetFieldsAndFillsInDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := setup.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.Lease != 1500*time.Millisecond || s.MaxBodyBytes != setup.DefaultMaxBodyBytes || !s.IsControl() {
		t.Errorf("got %+v, want Lease of the file, the default MaxBodyBytes and a control instance", s)
	}
}

// TestAllProblemsAtOnce guards against settings whose mistakes come to light one by one,
// each after another start of the instance.
func TestAllProblemsAtOnce(t *testing.T) {
	_, problems := setup.Parse("s.json", []byte(invalidSettings))
	var b strings.Builder
	for _, p := range problems {
		b.WriteString(p.Error() + "\n")
	}
	if b.String() != wantProblems {
		t.Errorf("got\n%swant\n%s", b.String(), wantProblems)
	}
}

// TestMalformedFileHasOneProblem guards against a problem for each missing field when the
// file is no JSON object, and against settings read from such a file.
func TestMalformedFileHasOneProblem(t *testing.T) {
	for _, content := range []string{"", "[]", validSettings + "{}", `{"Instance"`} {
		if _, problems := setup.Parse("s.json", []byte(content)); len(problems) != 1 {
			t.Errorf("%q gave the problems %v, want one", content, problems)
		}
	}
}
