package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// checkQuotas checks that each organisation stays within its quota in every window
// that begins at the sending of a request that ran.
func (c *checker) checkQuotas(organisations []brstandin.Organisation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, o := range organisations {
		if o.Rate() == 0 {
			continue
		}
		allowed := (o.Rate()*quotaWindow.Seconds()+o.Burst())*(1+quotaOverage) + quotaTolerance
		count, from := busiestWindow(c.runsOf(o.Name()))
		if float64(count) > allowed {
			c.addViolation("QUOTA: %d requests of %s ran in the window from %s, at most %.0f are allowed", count, o.Name(), from.Format("15:04:05.000"), allowed)
		}
	}
}

// run is one execution of a request: when it was sent and when a server started it.
type run struct {
	sent time.Time
	at   time.Time
}

func (c *checker) runsOf(organisation string) []run {
	runs := []run{}
	for _, r := range c.order {
		if r.organisation != organisation {
			continue
		}
		for _, a := range r.arrivals {
			runs = append(runs, run{sent: r.sent, at: a.ReceivedAt()})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	return runs
}

// busiestWindow returns the highest number of requests that were both sent and run
// within one window of quotaWindow, and the start of that window.
func busiestWindow(runs []run) (int, time.Time) {
	highest, start := 0, time.Time{}
	for i, first := range runs {
		from := first.at
		if first.sent.Before(from) {
			from = first.sent
		}
		count := 0
		for _, next := range runs[i:] {
			if next.at.Sub(from) > quotaWindow {
				break
			}
			if !next.sent.Before(from) {
				count++
			}
		}
		if count > highest {
			highest, start = count, from
		}
	}
	return highest, start
}

// checkBudget checks for each service that retries stay within the retry budget, which
// is a fraction of the requests of the same or the preceding window plus budgetExtra.
func (c *checker) checkBudget() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	retries, requests := map[string][]time.Time{}, map[string][]time.Time{}
	for _, r := range c.order {
		for i, a := range r.arrivals {
			if i > 0 {
				retries[a.Server().Service()] = append(retries[a.Server().Service()], a.ReceivedAt())
			}
		}
		requests[r.route.Service()] = append(requests[r.route.Service()], r.sent)
	}
	for service, times := range retries {
		slices.SortFunc(times, time.Time.Compare)
		for _, from := range times {
			retryCount := countWithin(times, from, from.Add(budgetWindow))
			requestCount := max(countWithin(requests[service], from, from.Add(budgetWindow)), countWithin(requests[service], from.Add(-budgetWindow), from))
			if float64(retryCount) > budgetRatio*float64(requestCount)+budgetExtra {
				c.addViolation("BUDGET: %d retries for %d requests at %s", retryCount, requestCount, service)
				return
			}
		}
	}
}

func countWithin(times []time.Time, from, until time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(until) {
			count++
		}
	}
	return count
}

// servedSince returns how many requests sent since a time have completed, and how many of
// them succeeded. Requests over quota or abandoned by their caller don't count.
func (c *checker) servedSince(from time.Time) (served, total int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, r := range c.order {
		if r.sent.Before(from) || r.ended.IsZero() || !r.disconnected.IsZero() || r.response.Status() == 429 {
			continue
		}
		total++
		if r.response.Succeeded() {
			served++
		}
	}
	return served, total
}

// summary returns the number of requests by outcome.
func (c *checker) summary() string {
	counts := map[string]int{}
	for _, r := range c.order {
		switch {
		case !r.disconnected.IsZero():
			counts["abandoned"]++
		case r.failure != nil:
			counts["connection lost"]++
		default:
			counts[strconv.Itoa(r.response.Status())]++
		}
	}
	return fmt.Sprint(counts)
}
