package soak

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// Terms of usage metering in the settings of the VMs.
const (
	usageWindow = 2 * time.Second
	usageLate   = 8 * time.Second
	usageMargin = 0.05
)

// checkUsage checks that no window was reported with two counts, that tokens never decrease and
// that no two VMs sent the same one.
func (c *checker) checkUsage(cloud *brstandin.Cloud) {
	if err := cloud.Check(); err != nil {
		c.reportViolation("USAGE: " + err.Error())
	}
}

// usageSummary compares the reports with the requests that servers received, for the log: VMs
// that are killed lose counts.
func (c *checker) usageSummary(cloud *brstandin.Cloud) string {
	calls := cloud.Calls()
	if len(calls) == 0 {
		return "no reports"
	}
	first := map[int64]brstandin.UsageCall{}
	last := int64(0)
	for _, call := range calls {
		if _, ok := first[call.Window()]; !ok && call.Status() == http.StatusOK {
			first[call.Window()] = call
		}
		last = max(last, call.Window())
	}
	ran := c.runsByWindow()
	reported, late, exact, counts := 0, 0, 0, 0
	wrong := strings.Builder{}
	for window := calls[0].Window(); window <= last; window++ {
		call, ok := first[window]
		if ok {
			reported++
			if call.At().Sub(time.Unix(0, (window+1)*int64(usageWindow))) > usageLate {
				late++
			}
		}
		for organisation, count := range ran[window] {
			counts++
			if ok && math.Abs(float64(call.Counts()[organisation])-float64(count)) <= usageMargin*float64(count) {
				exact++
				continue
			}
			fmt.Fprintf(&wrong, " %s in %d: %d of %d;", organisation, window, call.Counts()[organisation], count)
		}
	}
	return fmt.Sprintf("%d of %d windows reported, %d late; %d of %d counts within %v;%s %d calls", reported, last-calls[0].Window()+1, late, exact, counts, usageMargin, wrong.String(), len(calls))
}

// runsByWindow returns the requests that servers received, by window and organisation.
func (c *checker) runsByWindow() map[int64]map[string]int {
	ran := map[int64]map[string]int{}
	for _, o := range initialOrganisations() {
		for _, r := range c.runsOf(o.Name()) {
			window := r.at.UnixNano() / int64(usageWindow)
			if ran[window] == nil {
				ran[window] = map[string]int{}
			}
			ran[window][o.Name()]++
		}
	}
	return ran
}
