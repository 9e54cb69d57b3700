package brcommand

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/command/brdemo"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

// defaultDemoDuration is the default time for which callers send requests.
const defaultDemoDuration = 22 * time.Second

func newDemo() *cobra.Command {
	var duration time.Duration
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run two regions in one process and check what the system promises",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			output := command.OutOrStdout()
			report, err := brdemo.New(brclock.NewSystem(), duration, output).Run(command.Context())
			if err != nil {
				return errors.Errorf("demo: %w", err)
			}
			if err := report.Print(output); err != nil {
				return err
			}
			if report.Broken() {
				return errors.New("demo: a promise was broken")
			}
			return nil
		},
	}
	command.Flags().DurationVar(&duration, "duration", defaultDemoDuration, "how long callers send requests")
	return command
}
