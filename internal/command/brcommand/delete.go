package brcommand

import (
	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newDelete() *cobra.Command {
	command := &cobra.Command{
		Use:               "delete KIND NAME",
		Short:             "Delete a resource that nothing refers to",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeKinds,
	}
	connection := addConnectionFlags(command)
	flags := addChangeFlags(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return deleteResource(command, connection, flags, arguments[0], arguments[1])
	}
	return command
}

func deleteResource(command *cobra.Command, connection *connection, flags *changeFlags, kind, name string) error {
	client, err := connection.client()
	if err != nil {
		return err
	}
	result, err := client.Delete(command.Context(), kind, name, flags.options(command))
	if err != nil {
		return errors.Errorf("delete: %w", err)
	}
	return connection.printResult(command, result)
}
