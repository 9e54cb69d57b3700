// Package brcommand implements the command line of the bergamotroad program.
//
// Commands hold no logic of their own: serve, entry and demo load settings and
// run services of other packages, and the administration commands call the API
// of a VM through bradmin and print its responses. The exit code identifies the kind
// of failure, so that scripts know whether to retry.
//
// # Usage
//
//	os.Exit(brcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
package brcommand

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

// Main runs the program with its arguments and returns its exit code.
func Main(arguments []string, output, errorOutput io.Writer) int {
	ctx, stop := signalContext(context.Background(), isatty.IsTerminal(os.Stdin.Fd()), os.Exit)
	defer stop()
	// The transport of net/http writes a line for each response that nobody asked for. A
	// faulty server must not fill the log.
	log.SetOutput(io.Discard)
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	err := root.ExecuteContext(ctx)
	if brshutdown.IsAborted(ctx) {
		return exitInterrupted
	}
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, "bergamotroad:", err)
		return exitCode(err)
	}
	return exitSuccess
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "bergamotroad",
		Short:         "Global traffic steering",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newEntry(), newExplain(), newCheck(), newVersion())
	root.AddCommand(newApply(), newPlan(), newGet(), newDelete(), newLabel())
	root.AddCommand(newHistory(), newStatus(), newKey(), newToken(), newDemo(), newTimeline())
	return root
}
