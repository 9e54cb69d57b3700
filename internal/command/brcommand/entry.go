package brcommand

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/platform/brassembly"
	"bergamotroad.example/bergamotroad/platform/brvmsettings"
)

func newEntry() *cobra.Command {
	metricsPort := 0
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry VM on the users' platform, with the settings that the platform provides",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := os.Getenv(brvmsettings.EnvironmentVariable)
			settings, err := brvmsettings.Load(path)
			if err != nil {
				return errors.Errorf("load settings: %w", err)
			}
			vm, err := brassembly.NewVM(settings, brvmsettings.NewFile(path), metricsPort, brclock.NewSystem(), command.OutOrStdout())
			if err != nil {
				return errors.Errorf("start VM: %w", err)
			}
			stop := onHangup(vm.Reload)
			defer stop()
			return vm.Run(command.Context())
		},
	}
	command.Flags().IntVar(&metricsPort, "metrics-port", 0, "port that serves metrics; 0 serves none")
	return command
}
