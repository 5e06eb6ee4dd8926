package snipefront

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// The verdicts. NotRun holds only where no byte of the request reached a
// backend server, or where the backend server refused it before running it.
// Every doubtful case is MayHaveRun, which is therefore the zero value.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the name of v as it stands in logs and response headers.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict returns the verdict that String names s, and MayHaveRun for
// any other text.
func ParseVerdict(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}
