package brcommand

import (
	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

func newPlan() *cobra.Command {
	command := &cobra.Command{
		Use:   "plan FILE|DIRECTORY|-...",
		Short: "Show what apply would change, without changing anything",
		Args:  cobra.MinimumNArgs(1),
	}
	connection := addConnectionFlags(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := connection.client()
		if err != nil {
			return err
		}
		documents, err := readDocuments(arguments, command.InOrStdin())
		if err != nil {
			return err
		}
		plan, err := client.Plan(command.Context(), documents, bradmin.ChangeOptions{})
		if err != nil {
			return errors.Errorf("plan: %w", err)
		}
		printWarnings(command, plan.Warnings())
		rows := [][]string{{"ACTION", "KIND", "NAME"}}
		for _, s := range plan.Steps() {
			rows = append(rows, []string{s.Action(), s.Kind(), s.Name()})
		}
		return connection.print(command, plan.Raw(), rows)
	}
	return command
}
