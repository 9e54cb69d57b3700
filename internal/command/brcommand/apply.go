package brcommand

import (
	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newApply() *cobra.Command {
	var from uint64
	command := &cobra.Command{
		Use:   "apply [FILE|DIRECTORY|-]...",
		Short: "Create or update the resources in files, as one atomic change",
	}
	connection := addConnectionFlags(command)
	flags := addChangeFlags(command)
	command.Flags().Uint64Var(&from, "from-generation", 0, "reapply this earlier generation, except for keys, tokens and moves")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if (from == 0) == (len(arguments) == 0) {
			return errors.New("either files or --from-generation must be given")
		}
		client, err := connection.client()
		if err != nil {
			return err
		}
		documents, err := readDocuments(arguments, command.InOrStdin())
		if err != nil {
			return err
		}
		result, err := client.Apply(command.Context(), documents, flags.options(command).WithRestoredGeneration(from))
		if err != nil {
			return errors.Errorf("apply: %w", err)
		}
		return connection.printResult(command, result)
	}
	return command
}
