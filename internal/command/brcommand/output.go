package brcommand

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const columnPadding = 2

// print writes the API's response unchanged as JSON, or the rows as a table
// whose first row is the header.
func (c *connection) print(command *cobra.Command, raw json.RawMessage, rows [][]string) error {
	switch c.output {
	case outputJSON:
		command.Println(strings.TrimSpace(string(raw)))
		return nil
	case outputTable:
		return printTable(command, rows)
	default:
		return errors.Errorf("output %q is neither %q nor %q", c.output, outputTable, outputJSON)
	}
}

func printTable(command *cobra.Command, rows [][]string) error {
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, columnPadding, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Errorf("print table: %w", err)
		}
	}
	if err := writer.Flush(); err != nil {
		return errors.Errorf("print table: %w", err)
	}
	return nil
}

// printResult writes the generation and operation of an accepted change, and its
// warnings to the error output.
func (c *connection) printResult(command *cobra.Command, result bradmin.ChangeResult) error {
	printWarnings(command, result.Warnings())
	return c.print(command, result.Raw(), [][]string{
		{"GENERATION", "OPERATION"},
		{fmt.Sprint(result.Generation()), result.Operation()},
	})
}

func printWarnings(command *cobra.Command, warnings []string) {
	for _, w := range warnings {
		command.PrintErrln("warning:", w)
	}
}
