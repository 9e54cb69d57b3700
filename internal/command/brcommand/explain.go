package brcommand

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/service/brexplain"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Print how a request was handled, from the logs of entry VMs",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			log := brexplain.New()
			for _, path := range arguments[1:] {
				if err := readLog(log, path); err != nil {
					return err
				}
			}
			lines := log.Explain(arguments[0])
			for _, line := range lines {
				_, _ = fmt.Fprintln(command.OutOrStdout(), line)
			}
			if log.Skipped() > 0 {
				_, _ = fmt.Fprintln(command.ErrOrStderr(), log.Skipped(), "lines could not be parsed")
			}
			if len(lines) == 0 {
				return errors.Errorf("no log line mentions request %q", arguments[0])
			}
			return nil
		},
	}
}

func readLog(log *brexplain.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := log.Read(file); err != nil {
		return errors.Errorf("read %s: %w", path, err)
	}
	return nil
}
