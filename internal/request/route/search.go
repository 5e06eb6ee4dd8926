package route

import "github.com/snipefront/snipefront"

// search is what became of a request in the cells asked so far.
type search struct {
	// request is what the next cell is asked.
	request *snipefront.Request
	// verdict is the weakest of all cells.
	verdict snipefront.Verdict
}

// note takes in that a cell came to err, and returns err with the verdict of all
// cells.
func (s *search) note(err error) *snipefront.Error {
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
