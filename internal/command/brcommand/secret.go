package brcommand

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const secretBytes = 32

// newSecret returns a random key or token and its hex-encoded SHA-256.
func newSecret() (secret, hash string) {
	data := make([]byte, secretBytes)
	_, _ = rand.Read(data)
	secret = base64.RawURLEncoding.EncodeToString(data)
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

// grant stores a key or token. The secret is printed once and never stored, only
// its hash is.
func grant(command *cobra.Command, connection *connection, flags *changeFlags, secret string, resource brconfig.Resource) error {
	client, err := connection.client()
	if err != nil {
		return err
	}
	document, err := brdocument.EncodeResource(resource)
	if err != nil {
		return errors.Errorf("encode %s: %w", resource.Kind(), err)
	}
	// The secret is printed before the request: if the outcome of the request
	// remains unknown, the key may exist, and only the secret can make use of it.
	command.Println(secret)
	result, err := client.Apply(command.Context(), []json.RawMessage{document}, flags.options(command))
	if err != nil {
		return errors.Errorf("grant %s %q (the printed secret is valid only if the change is accepted): %w", resource.Kind(), resource.Name(), err)
	}
	command.PrintErrln("granted", resource.Kind(), resource.Name(), "in generation", result.Generation())
	return nil
}

func newWithdraw(kind brconfig.Kind) *cobra.Command {
	command := &cobra.Command{
		Use:   "withdraw NAME",
		Short: "Withdraw a " + string(kind),
		Args:  cobra.ExactArgs(1),
	}
	connection := addConnectionFlags(command)
	flags := addChangeFlags(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return deleteResource(command, connection, flags, string(kind), arguments[0])
	}
	return command
}
