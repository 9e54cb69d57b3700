package brcommand

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

const (
	defaultTimelineLimit = 100 // events
	followInterval       = time.Second
	timeLayout           = "2006-01-02T15:04:05.000000Z07:00"
)

// eventFilters are the flags that filter events.
var eventFilters = []string{"organisation", "request", "move", "vm", "kind"}

// timeline prints events, with a header above the first ones only.
type timeline struct {
	command       *cobra.Command
	connection    *connection
	query         bradmin.EventQuery
	headerPrinted bool
}

func newTimeline() *cobra.Command {
	var limit int
	var follow bool
	command := &cobra.Command{
		Use:   "timeline",
		Short: "Show the newest events of all VMs, oldest first",
		Args:  cobra.NoArgs,
	}
	connection := addConnectionFlags(command)
	command.Flags().IntVar(&limit, "limit", defaultTimelineLimit, "maximum number of events")
	command.Flags().BoolVar(&follow, "follow", false, "keep printing new events until interrupted")
	conditions := map[string]*string{}
	for _, name := range eventFilters {
		conditions[name] = command.Flags().String(name, "", "only events of this "+name)
	}
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := connection.client()
		if err != nil {
			return err
		}
		query := bradmin.NewEventQuery(limit)
		for name, value := range conditions {
			query = query.WithCondition(name, *value)
		}
		t := &timeline{command: command, connection: connection, query: query}
		return t.run(client, follow)
	}
	return command
}

func (t *timeline) run(client *bradmin.Client, follow bool) error {
	for {
		events, err := client.Events(t.command.Context(), t.query)
		if err != nil {
			return errors.Errorf("timeline: %w", err)
		}
		if err := t.print(events); err != nil {
			return err
		}
		if !follow || !wait(t.command.Context(), brclock.NewSystem(), followInterval) {
			return nil
		}
		t.query = t.query.WithCondition("cursor", events.Cursor())
	}
}

func (t *timeline) print(events bradmin.Events) error {
	if missing := events.Missing(); len(missing) > 0 {
		t.command.PrintErrln("warning: no answer from", strings.Join(missing, ", "))
	}
	if t.headerPrinted && len(events.All()) == 0 {
		return nil
	}
	rows := [][]string{}
	if !t.headerPrinted {
		rows = append(rows, []string{"TIME", "VM", "KIND", "ORGANISATION", "ABOUT", "DETAILS"})
	}
	t.headerPrinted = true
	for _, e := range events.All() {
		rows = append(rows, []string{e.Time().Format(timeLayout), e.VM(), e.Kind(), e.Organisation(), eventSubject(e), formatDetails(e)})
	}
	return t.connection.print(t.command, events.Raw(), rows)
}

func eventSubject(e bradmin.Event) string {
	parts := slices.DeleteFunc([]string{e.Request(), e.Move(), e.Resource()}, func(s string) bool { return s == "" })
	return strings.Join(parts, " ")
}

func formatDetails(e bradmin.Event) string {
	parts := []string{}
	for _, name := range slices.Sorted(maps.Keys(e.Details())) {
		parts = append(parts, fmt.Sprintf("%s=%s", name, e.Details()[name]))
	}
	return strings.Join(parts, " ")
}

// wait waits for a period and reports whether it elapsed before the context was
// cancelled.
func wait(ctx context.Context, clock brclock.Clock, period time.Duration) bool {
	timer := clock.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
