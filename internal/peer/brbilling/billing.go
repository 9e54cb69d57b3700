// Package brbilling defines the interface to the platform's usage metering, which is told once
// how many requests of each organisation ran in a window, and the errors of its calls.
//
// # Usage
//
//	err := platform.Report(ctx, brbilling.NewCall("vm-1", 12, report, mayAct))
//	if brbilling.IsErrRejected(err) {
//		// try again later
//	}
package brbilling

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

// Platform is the platform's usage metering.
type Platform interface {
	// Report sends a report. It returns ErrRejected if the platform did not take it, and
	// ErrExpired if nothing was sent. After other errors the platform may have taken it.
	Report(ctx context.Context, call Call) error
}

// Call is a call of the holder of the lease.
type Call struct {
	holder string
	token  uint64
	report brmeter.Report
	mayAct func() bool
}

// NewCall returns the call of a holder with its fencing token. The function mayAct is called
// immediately before anything is sent, and reports whether the lease still lasts: a
// process may have been suspended, or connecting may have taken long.
func NewCall(holder string, token uint64, report brmeter.Report, mayAct func() bool) Call {
	return Call{holder: holder, token: token, report: report, mayAct: mayAct}
}

// Holder returns the name of the holder.
func (c Call) Holder() string { return c.holder }

// Token returns the fencing token.
func (c Call) Token() uint64 { return c.token }

// Report returns the report.
func (c Call) Report() brmeter.Report { return c.report }

// MayAct reports whether the lease still lasts.
func (c Call) MayAct() bool { return c.mayAct() }

// ErrRejected means that the platform did not take the report.
type ErrRejected struct {
	status int
}

// NewErrRejected returns the error for the status of the response.
func NewErrRejected(status int) ErrRejected { return ErrRejected{status: status} }

// Error returns a message with the status.
func (e ErrRejected) Error() string {
	return fmt.Sprintf("platform rejected report: status %d", e.status)
}

// IsErrRejected reports whether err is or wraps ErrRejected.
func IsErrRejected(err error) bool {
	_, ok := errors.Into[ErrRejected](err)
	return ok
}

// ErrExpired means that the lease ended before anything was sent.
type ErrExpired struct{}

// Error returns the message.
func (ErrExpired) Error() string { return "lease ended before the report was sent" }

// IsErrExpired reports whether err is or wraps ErrExpired.
func IsErrExpired(err error) bool {
	_, ok := errors.Into[ErrExpired](err)
	return ok
}
