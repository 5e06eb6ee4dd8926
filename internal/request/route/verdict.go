package route

import "github.com/snipefront/snipefront"

// weaker returns the verdict of a request for which the cells asked so far came
// to v and one more came to err.
func weaker(v snipefront.Verdict, err error) snipefront.Verdict {
	if snipefront.AsError(err).Verdict == snipefront.NotRun {
		return v
	}
	return snipefront.MayHaveRun
}

// withVerdict returns err with the verdict v where that is weaker.
func withVerdict(err error, v snipefront.Verdict) error {
	e := *snipefront.AsError(err)
	if v != snipefront.NotRun {
		e.Verdict = v
	}
	return &e
}
