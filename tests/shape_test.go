package tests

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "bergamotroad.example/bergamotroad/"

// platformArea is the folder of the adapter for the users' platform.
const platformArea = "platform"

// sourceFile is a parsed source file of the project, other than a test.
type sourceFile struct {
	path    string // relative to the repository root
	area    string // such as "decide" in internal/decide/brkey
	folder  string // such as "brkey" in internal/decide/brkey
	syntax  *ast.File
	imports []string
}

func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	files := []sourceFile{}
	for _, root := range []string{filepath.Join("..", "internal"), filepath.Join("..", platformArea)} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files = append(files, parseFile(t, path))
			return nil
		})
		require.NoError(t, err)
	}
	require.NotEmpty(t, files)
	return files
}

func parseFile(t *testing.T, path string) sourceFile {
	t.Helper()
	syntax, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	relative := strings.TrimPrefix(filepath.ToSlash(path), "../")
	parts := strings.Split(relative, "/")
	if parts[0] == platformArea {
		// Users require the adapter at the repository root instead of under internal/.
		parts = append([]string{"internal"}, parts...)
	}
	require.Len(t, parts, 4, "%s: packages lie two levels deep under internal/", relative)
	file := sourceFile{path: relative, area: parts[1], folder: parts[2], syntax: syntax}
	for _, spec := range syntax.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		require.NoError(t, err)
		file.imports = append(file.imports, name)
	}
	return file
}

func (f sourceFile) generated() bool { return f.folder == "brentrypb" }

// allowedImports maps each area to the areas that its packages may import.
var allowedImports = map[string][]string{
	"core":   {"core"},
	"model":  {"core", "model"},
	"decide": {"core", "model", "decide"},
	"codec":  {"core", "model", "codec"},
	"duty":   {"core", "model", "decide", "codec", "duty", "peer"},
	"peer":   {"core", "model", "codec", "duty", "peer", "service"},
	// The adapter translates names, formats and calls of the users' platform. It must
	// not import decisions.
	"platform": {"core", "model", "peer", "platform", "service"},
	"standin":  {"core", "model", "codec", "peer", "standin"},
	"service":  {"core", "model", "decide", "codec", "duty", "peer", "service"},
	"command":  {"core", "model", "decide", "codec", "duty", "peer", "service", "standin", "platform", "command"},
}

func TestAreasImportOnlyAllowedAreas(t *testing.T) {
	for _, f := range sourceFiles(t) {
		allowed, ok := allowedImports[f.area]
		require.True(t, ok, "%s: area %q has no entry in the list of allowed imports", f.path, f.area)
		for _, name := range f.imports {
			rest, local := strings.CutPrefix(name, module)
			rest = strings.TrimPrefix(rest, "internal/")
			if !local {
				continue
			}
			area, _, _ := strings.Cut(rest, "/")
			require.Contains(t, allowed, area, "%s imports %s", f.path, name)
		}
	}
}

// Packages for peers and for the users' platform only translate messages, so they must
// not import decisions.
func TestPeersImportNoDecisions(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if f.area != "peer" && f.area != "platform" {
			continue
		}
		for _, name := range f.imports {
			require.NotContains(t, name, "/internal/decide/", "%s imports decisions", f.path)
		}
	}
}

// decisionAreas hold decisions and the values that they use. They must not import encoding
// or network packages, so that another front end can use the same code.
var decisionAreas = []string{"decide", "model"}

// encodingPackages and networkPackages are path prefixes of packages that decisionAreas
// must not import.
var (
	encodingPackages = []string{"encoding/json", "encoding/xml", "encoding/gob", "google.golang.org/protobuf", "github.com/twitchtv/twirp", module + "internal/codec"}
	networkPackages  = []string{"net/http", "net/url", "net/rpc", "github.com/kataras/iris", "os", "io/ioutil"}
)

func TestDecisionsImportNoEncodingOrNetwork(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if !slices.Contains(decisionAreas, f.area) {
			continue
		}
		for _, name := range f.imports {
			require.NotEqual(t, "net", name, "%s imports a network package", f.path)
			for _, forbidden := range slices.Concat(encodingPackages, networkPackages) {
				same := name == forbidden || strings.HasPrefix(name, forbidden+"/")
				require.False(t, same, "%s imports %s", f.path, name)
			}
		}
	}
}

// goroutineOwners are the areas that may start goroutines. Code of the other areas runs
// on their goroutines.
var goroutineOwners = []string{"core", "peer", "service", "standin", "command"}

func TestGoroutinesStartOnlyInOwningAreas(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if slices.Contains(goroutineOwners, f.area) {
			continue
		}
		ast.Inspect(f.syntax, func(node ast.Node) bool {
			_, starts := node.(*ast.GoStmt)
			require.False(t, starts, "%s starts a goroutine", f.path)
			return true
		})
	}
}

// The state of a duty is used by one goroutine only, so it needs no lock.
func TestDutiesAndDecisionsHoldNoLocks(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if f.area == "decide" || f.area == "duty" || f.area == "model" {
			require.NotContains(t, f.imports, "sync", "%s imports sync", f.path)
		}
	}
}

func TestPackagesAreNamedWithPrefixAndNoun(t *testing.T) {
	for _, f := range sourceFiles(t) {
		require.True(t, strings.HasPrefix(f.folder, "br"), "%s: package name lacks the prefix br", f.path)
		require.Equal(t, f.folder, f.syntax.Name.Name, "%s: package name differs from its folder", f.path)
	}
}

// platformNames are names that are specific to the users' platform.
var platformNames = []string{
	"X-Server-Stamp", "X-Expected-Instance", "X-Not-Executed", "X-Server-Load", "X-Affinity-Key", "X-Credential",
	"rows-feed", "rows-get", "rows-tx", "row_version", "weighted_backends", "api_keys", "target_latency_s",
	"max_concurrency", "cold_remaining_s", "rolled_back", "node_name", "BERGAMOTROAD_CONFIG",
}

// Names that are specific to the users' platform may only occur in its adapter.
func TestPlatformNamesOccurOnlyInAdapter(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if f.area == "platform" || f.generated() {
			continue
		}
		ast.Inspect(f.syntax, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			for _, word := range platformNames {
				require.NotContains(t, literal.Value, word, "%s contains a name of the users' platform", f.path)
			}
			return true
		})
	}
}

// Only fields of wire types may be exported: unexported structs in which every exported
// field has a struct tag.
func TestOnlyWireTypesExportFields(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if f.generated() {
			continue
		}
		ast.Inspect(f.syntax, func(node ast.Node) bool {
			spec, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			structure, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					wire := !spec.Name.IsExported() && field.Tag != nil
					require.True(t, wire || !name.IsExported(), "%s: %s.%s is an exported field outside a wire type", f.path, spec.Name, name)
				}
			}
			return true
		})
	}
}
