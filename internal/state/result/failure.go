package result

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Failure is an error with a result code, in the form that callers and operators receive.
type Failure struct {
	Code       Code
	Ran        Ran
	Detail     string        // one sentence about this occurrence, without secrets
	RetryAfter time.Duration // zero when a retry does not help
}

var _ error = (*Failure)(nil)

// New returns a Failure for a request that reached no upstream.
func New(c Code, format string, args ...any) *Failure {
	return &Failure{Code: c, Ran: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// Of returns the Failure within err, or an internal one whose execution is unknown.
func Of(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Code: Internal, Ran: Unknown, Detail: err.Error()}
}

// Error returns the code's name and the detail.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%d): %s", f.Code.Meaning().Name, int(f.Code), f.Detail)
}

// After returns a copy of f that tells the caller to wait for d before a retry.
func (f *Failure) After(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// WithRan returns a copy of f with another state of execution.
func (f *Failure) WithRan(r Ran) *Failure {
	c := *f
	c.Ran = r
	return &c
}
