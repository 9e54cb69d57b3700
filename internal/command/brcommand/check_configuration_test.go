package brcommand

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// Scripts and operators rely on the exit code, on the place of each finding and on the form
// of the output. The golden files are below testdata/check.
func TestCheckConfiguration(t *testing.T) {
	for _, c := range []struct {
		name      string
		arguments []string
		code      int
	}{
		{"policy", []string{"policy.json"}, exitRefused},
		{"policy-servers", []string{"policy.json", "--servers", "servers.json"}, exitRefused},
		{"policy-json", []string{"policy.json", "--servers", "servers.json", "--in-force", "in-force.json", "--output", "json"}, exitRefused},
		{"difference", []string{"valid.json", "--in-force", "in-force.json"}, exitSuccess},
		{"valid", []string{"valid.json"}, exitSuccess},
		{"valid-json", []string{"valid.json", "--output", "json"}, exitSuccess},
		{"resources", []string{"resources.json"}, exitRefused},
		{"invalid", []string{"invalid.json"}, exitRefused},
		{"dangling", []string{"dangling.json"}, exitRefused},
		{"declared-twice", []string{"resources.json", "resources.json"}, exitRefused},
		{"field", []string{"field.json"}, exitRefused},
		{"syntax", []string{"syntax.json"}, exitRefused},
		{"type", []string{"type.json"}, exitRefused},
		{"missing", []string{"missing.json"}, exitFailure},
		{"output", []string{"valid.json", "--output", "yaml"}, exitFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden, err := filepath.Abs(filepath.Join("testdata", "check", c.name+".golden"))
			require.NoError(t, err)
			t.Chdir(filepath.Join("testdata", "check"))
			output := bytes.Buffer{}
			code := Main(append([]string{"check", "configuration"}, c.arguments...), &output, &output)
			require.Equal(t, c.code, code)
			if *update {
				require.NoError(t, os.WriteFile(golden, output.Bytes(), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), output.String())
		})
	}
}
