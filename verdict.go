package snipefront

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// The verdicts. NotRun applies only if no byte of the request reached a backend
// server, or if the backend server refused the request before running it. MayHaveRun
// applies whenever this is not certain, so it is the zero value.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the name of v, as written in logs and response headers.
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

// ParseVerdict returns the verdict whose String is s, or MayHaveRun for any other
// text.
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
