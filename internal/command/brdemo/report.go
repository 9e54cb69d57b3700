package brdemo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Status is the result of checking a promise.
type Status string

// The statuses of promises.
const (
	StatusKept        Status = "kept"
	StatusBroken      Status = "broken"
	StatusNotObserved Status = "not observed"
	// StatusKeptByServers means that the limit was kept only because the servers
	// refused requests that exceeded it.
	StatusKeptByServers Status = "kept by the servers, which shed the rest"
)

// Verdict is a promise, a summary of what was observed in the run, and the resulting
// status.
type Verdict struct {
	promise  string
	observed string
	status   Status
	timed    bool
}

// Promise returns the text of the promise.
func (v Verdict) Promise() string { return v.promise }

// Observed returns a summary of the observations.
func (v Verdict) Observed() string { return v.observed }

// Status returns whether the promise was kept.
func (v Verdict) Status() Status { return v.status }

// Timed reports whether the promise may be broken on a slow machine, since it sets a time
// limit or needs progress within the run.
func (v Verdict) Timed() bool { return v.timed }

// Report holds the verdicts of a run.
type Report struct {
	verdicts []Verdict
}

// Verdicts returns the verdicts. The caller must not change the slice.
func (r Report) Verdicts() []Verdict { return r.verdicts }

// Broken reports whether a promise was broken.
func (r Report) Broken() bool {
	for _, v := range r.verdicts {
		if v.status == StatusBroken {
			return true
		}
	}
	return false
}

// Print writes the verdicts as a table.
func (r Report) Print(output io.Writer) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "PROMISE\tOBSERVED\tVERDICT")
	for _, v := range r.verdicts {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\n", v.promise, v.observed, v.status)
	}
	if err := writer.Flush(); err != nil {
		return errors.Errorf("print report: %w", err)
	}
	return nil
}
