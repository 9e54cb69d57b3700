package brcommand

import (
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

func newKey() *cobra.Command {
	command := &cobra.Command{Use: "key", Short: "Grant and withdraw API keys of callers"}
	command.AddCommand(newKeyGrant(), newWithdraw(brconfig.KindKey))
	return command
}

func newKeyGrant() *cobra.Command {
	var team string
	command := &cobra.Command{
		Use:   "grant NAME ORGANISATION",
		Short: "Grant a new key to an organisation and print it once",
		Args:  cobra.ExactArgs(2),
	}
	connection := addConnectionFlags(command)
	flags := addChangeFlags(command)
	command.Flags().StringVar(&team, "team", "", "team that owns the key")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		secret, hash := newSecret()
		key := brconfig.NewKey(brconfig.NewMeta(arguments[0]).WithTeam(team), arguments[1], hash)
		return grant(command, connection, flags, secret, key)
	}
	return command
}
