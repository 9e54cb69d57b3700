package brcommand

import (
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

func newGet() *cobra.Command {
	var labels []string
	command := &cobra.Command{
		Use:               "get KIND [NAME]",
		Short:             "Show all resources of a kind, or one by name",
		Args:              cobra.RangeArgs(1, 2),
		ValidArgsFunction: completeKinds,
	}
	connection := addConnectionFlags(command)
	command.Flags().StringArrayVarP(&labels, "label", "l", nil, "only resources with this label, name=value or name")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := connection.client()
		if err != nil {
			return err
		}
		list, err := readResources(command, client, arguments, labels)
		if err != nil {
			return errors.Errorf("get: %w", err)
		}
		rows := [][]string{{"KIND", "NAME", "TEAM", "LABELS", "SPEC"}}
		for _, r := range list.Resources() {
			rows = append(rows, []string{r.Kind(), r.Name(), r.Team(), formatLabels(r.Labels()), string(r.Spec())})
		}
		return connection.print(command, list.Raw(), rows)
	}
	return command
}

func readResources(command *cobra.Command, client *bradmin.Client, arguments, labels []string) (bradmin.List, error) {
	if len(arguments) == 2 {
		return client.Get(command.Context(), arguments[0], arguments[1])
	}
	return client.List(command.Context(), arguments[0], labels)
}

func formatLabels(labels map[string]string) string {
	parts := []string{}
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, name+"="+labels[name])
	}
	return strings.Join(parts, ",")
}

// completeKinds completes the first argument, a kind of resource.
func completeKinds(_ *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	kinds := []string{}
	for _, k := range brconfig.NewSnapshot().Kinds() {
		kinds = append(kinds, string(k))
	}
	return kinds, cobra.ShellCompDirectiveNoFileComp
}
