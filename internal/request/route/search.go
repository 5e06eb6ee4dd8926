package route

import "github.com/snipefront/snipefront"

// search is the state of a request that is tried in one cell after another.
type search struct {
	// request is the request for the next cell.
	request *snipefront.Request
	// verdict is NotRun if no cell tried so far may have run the request, else MayHaveRun.
	verdict snipefront.Verdict
}

// record adds the error of a cell and returns it with the verdict of all cells tried
// so far.
func (s *search) record(err error) *snipefront.Error {
	e := *snipefront.AsError(err)
	if e.Verdict != snipefront.NotRun {
		s.verdict = snipefront.MayHaveRun
	}
	if s.verdict != snipefront.NotRun {
		e.Verdict = s.verdict
	}
	if e.Broken > s.request.Broken {
		r := *s.request
		r.Broken = e.Broken
		s.request = &r
	}
	return &e
}
