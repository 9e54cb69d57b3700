package brcommand

import (
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

func newCheck() *cobra.Command {
	command := &cobra.Command{
		Use:   "check SETTINGS",
		Short: "Validate a settings file without starting a VM, or a configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if _, err := brsettings.Load(arguments[0]); err != nil {
				return err
			}
			command.Println("settings are valid")
			return nil
		},
	}
	command.AddCommand(newCheckConfiguration())
	return command
}
