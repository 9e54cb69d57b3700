package brcommand

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/service/brnode"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

func newServe() *cobra.Command {
	return &cobra.Command{
		Use:   "serve SETTINGS",
		Short: "Run an entry VM with the settings from a file",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			settings, err := brsettings.Load(arguments[0])
			if err != nil {
				return err
			}
			logger, err := newLogger(command.ErrOrStderr(), settings.LogLevel())
			if err != nil {
				return err
			}
			node, err := brnode.New(settings, brclock.NewSystem(), logger)
			if err != nil {
				return errors.Errorf("start VM: %w", err)
			}
			return node.Run(command.Context())
		},
	}
}

func newLogger(output io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("parse log level: %w", err)
	}
	return log.NewWithOptions(output, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		Level:           parsed,
	}), nil
}
