package brcommand

import (
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

func newToken() *cobra.Command {
	command := &cobra.Command{Use: "token", Short: "Grant and withdraw tokens of operators"}
	command.AddCommand(newTokenGrant(), newWithdraw(brconfig.KindToken))
	return command
}

func newTokenGrant() *cobra.Command {
	var team, role string
	command := &cobra.Command{
		Use:   "grant NAME",
		Short: "Grant a new token to an operator and print it once",
		Args:  cobra.ExactArgs(1),
	}
	connection := addConnectionFlags(command)
	flags := addChangeFlags(command)
	command.Flags().StringVar(&team, "team", "", "team of the operator; without one, the token belongs to the platform team")
	command.Flags().StringVar(&role, "role", string(brconfig.RoleViewer), "role of the operator: viewer, editor or administrator")
	roles := []string{string(brconfig.RoleViewer), string(brconfig.RoleEditor), string(brconfig.RoleAdministrator)}
	_ = command.RegisterFlagCompletionFunc("role", cobra.FixedCompletions(roles, cobra.ShellCompDirectiveNoFileComp))
	command.RunE = func(command *cobra.Command, arguments []string) error {
		secret, hash := newSecret()
		meta := brconfig.NewMeta(arguments[0]).WithTeam(team)
		return grant(command, connection, flags, secret, brconfig.NewToken(meta, hash, brconfig.Role(role)))
	}
	return command
}
