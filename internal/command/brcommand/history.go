package brcommand

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

const defaultHistoryLimit = 20

// maxShownResources is the maximum number of resources listed in a row of the table.
const maxShownResources = 3

func newHistory() *cobra.Command {
	var limit int
	var operation string
	command := &cobra.Command{
		Use:   "history",
		Short: "Show accepted changes, newest first, or the change of one operation",
		Args:  cobra.NoArgs,
	}
	connection := addConnectionFlags(command)
	command.Flags().IntVar(&limit, "limit", defaultHistoryLimit, "maximum number of changes")
	command.Flags().StringVar(&operation, "operation", "", "only the change of this operation")
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := connection.client()
		if err != nil {
			return err
		}
		history, err := readHistory(command, client, operation, limit)
		if err != nil {
			return errors.Errorf("history: %w", err)
		}
		rows := [][]string{{"GENERATION", "TIME", "AUTHOR", "TEAM", "OPERATION", "CHANGED"}}
		for _, e := range history.Entries() {
			rows = append(rows, historyRow(e))
		}
		return connection.print(command, history.Raw(), rows)
	}
	return command
}

func readHistory(command *cobra.Command, client *bradmin.Client, operation string, limit int) (bradmin.History, error) {
	if operation != "" {
		return client.Operation(command.Context(), operation)
	}
	return client.History(command.Context(), limit)
}

func historyRow(e bradmin.Entry) []string {
	resources := e.Resources()[:min(len(e.Resources()), maxShownResources)]
	changed := strings.Join(resources, " ")
	if more := e.Changed() - len(resources); more > 0 {
		changed += fmt.Sprintf(" and %d more", more)
	}
	return []string{fmt.Sprint(e.Generation()), e.Time().Format(time.RFC3339), e.Author(), e.Team(), e.Operation(), changed}
}
