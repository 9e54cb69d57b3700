package brcommand

import (
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

// changeFlags are the flags of all commands that change resources.
type changeFlags struct {
	expectedGeneration uint64
	idempotencyKey     string
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	f := &changeFlags{}
	command.Flags().Uint64Var(&f.expectedGeneration, "expect", 0, "refuse the change if a resource in it has changed after this generation")
	command.Flags().StringVar(&f.idempotencyKey, "operation", "", "identifier of the change; a change repeated with the same identifier is applied once")
	return f
}

// options returns the options that the flags set, with a random idempotency key if none is
// given.
func (f *changeFlags) options(command *cobra.Command) bradmin.ChangeOptions {
	key := f.idempotencyKey
	if key == "" {
		key = uuid.NewString()
	}
	options := bradmin.ChangeOptions{}.WithIdempotencyKey(key)
	if command.Flags().Changed("expect") {
		options = options.WithExpectedGeneration(f.expectedGeneration)
	}
	return options
}
