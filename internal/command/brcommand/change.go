package brcommand

import (
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

// changeFlags are the flags of all commands that change resources.
type changeFlags struct {
	expected uint64
	key      string
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	f := &changeFlags{}
	command.Flags().Uint64Var(&f.expected, "expect", 0, "refuse the change if a resource in it has changed after this generation")
	command.Flags().StringVar(&f.key, "operation", "", "identifier of the change; a change repeated with the same identifier is applied once")
	return f
}

// change returns the change that the flags describe, with a random identifier if none is given.
func (f *changeFlags) change(command *cobra.Command) bradmin.ChangeOptions {
	key := f.key
	if key == "" {
		key = uuid.NewString()
	}
	change := bradmin.ChangeOptions{}.WithIdempotencyKey(key)
	if command.Flags().Changed("expect") {
		change = change.WithExpectedGeneration(f.expected)
	}
	return change
}
