package brcommand

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

// Environment variables that are read if the flag is not set.
const (
	serverVariable = "BERGAMOTROAD_SERVER"
	tokenVariable  = "BERGAMOTROAD_TOKEN"
)

const (
	defaultServer = "http://127.0.0.1:7500"
	callTimeout   = time.Minute
)

// connection holds the flags that select the administration API of a VM.
type connection struct {
	server    string
	tokenFile string
	output    string
}

// addConnectionFlags adds the connection flags to a command.
func addConnectionFlags(command *cobra.Command) *connection {
	c := &connection{}
	flags := command.PersistentFlags()
	flags.StringVar(&c.server, "server", "", "base URL of a VM's administration API; defaults to $"+serverVariable+", then "+defaultServer)
	flags.StringVar(&c.tokenFile, "token-file", "", "file with the operator's token; defaults to the token in $"+tokenVariable)
	flags.StringVar(&c.output, "output", outputTable, "output format, table or json")
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	return c
}

func (c *connection) client() (*bradmin.Client, error) {
	token := os.Getenv(tokenVariable)
	if c.tokenFile != "" {
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, errors.Errorf("read token: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	return bradmin.NewClient(&http.Client{Timeout: callTimeout}, c.address(), token), nil
}

func (c *connection) address() string {
	if c.server != "" {
		return c.server
	}
	if server := os.Getenv(serverVariable); server != "" {
		return server
	}
	return defaultServer
}
