package brcommand

import (
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newLabel() *cobra.Command {
	command := &cobra.Command{
		Use:               "label KIND NAME LABEL=VALUE|LABEL-...",
		Short:             "Set labels of a resource, or remove those given with a trailing '-'",
		Args:              cobra.MinimumNArgs(3),
		ValidArgsFunction: completeKinds,
	}
	connection := addConnectionFlags(command)
	flags := addChangeFlags(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		set, remove, err := splitLabels(arguments[2:])
		if err != nil {
			return err
		}
		client, err := connection.client()
		if err != nil {
			return err
		}
		result, err := client.Label(command.Context(), arguments[0], arguments[1], set, remove, flags.options(command))
		if err != nil {
			return errors.Errorf("label: %w", err)
		}
		return connection.printResult(command, result)
	}
	return command
}

func splitLabels(arguments []string) (map[string]string, []string, error) {
	set := map[string]string{}
	remove := []string{}
	for _, argument := range arguments {
		name, value, isSet := strings.Cut(argument, "=")
		removed, isRemoved := strings.CutSuffix(argument, "-")
		switch {
		case isSet:
			set[name] = value
		case isRemoved:
			remove = append(remove, removed)
		default:
			return nil, nil, errors.Errorf("%q is neither LABEL=VALUE nor LABEL-", argument)
		}
	}
	return set, remove, nil
}
