package brcommand

import (
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newStatus() *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Show a VM, its configuration generation and the number of resources of each kind",
		Args:  cobra.NoArgs,
	}
	connection := addConnectionFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := connection.client()
		if err != nil {
			return err
		}
		status, err := client.Status(command.Context())
		if err != nil {
			return errors.Errorf("status: %w", err)
		}
		rows := [][]string{{"vm", status.VM()}, {"generation", fmt.Sprint(status.Generation())}}
		for _, kind := range slices.Sorted(maps.Keys(status.Resources())) {
			rows = append(rows, []string{kind, fmt.Sprint(status.Resources()[kind])})
		}
		return connection.print(command, status.Raw(), rows)
	}
	return command
}
