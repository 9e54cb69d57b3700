package brcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brfinding"
	"bergamotroad.example/bergamotroad/internal/decide/brvalidation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brdeclaration"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/platform/brwire"
)

// errInvalidConfiguration is returned if a configuration has findings that are errors.
var errInvalidConfiguration = errors.New("the configuration has errors")

// configurationCheck holds the flags of check configuration.
type configurationCheck struct {
	inForce string
	servers string
	output  string
}

func newCheckConfiguration() *cobra.Command {
	c := &configurationCheck{}
	command := &cobra.Command{
		Use:   "configuration FILE|DIRECTORY|-...",
		Short: "Find faults of a configuration, without a VM",
		Long: "Find parts of a configuration that can never take effect and limits that contradict each other,\n" +
			"in resources as for apply or in a configuration of the platform.",
		Args: cobra.MinimumNArgs(1),
		RunE: c.run,
	}
	flags := command.Flags()
	flags.StringVar(&c.inForce, "in-force", "", "file or directory of the version in force, to list the differences")
	flags.StringVar(&c.servers, "servers", "", "JSON file with an array of {service, region, slots}, for a configuration of the platform")
	flags.StringVar(&c.output, "output", outputTable, "output format, table or json")
	return command
}

// configuration is the documents of one version of the configuration.
type configuration struct {
	declarations []brdeclaration.Declaration
	resources    []brconfig.Resource
	policy       broption.Option[brfleet.Policy]
	findings     []located
}

// located is a finding with its place.
type located struct {
	brfinding.Finding
	file   string
	line   int
	column int // 0 if unknown
}

func (l located) place() string {
	if l.column > 0 {
		return fmt.Sprintf("%s:%d:%d", l.file, l.line, l.column)
	}
	return fmt.Sprintf("%s:%d", l.file, l.line)
}

func (l located) subject() string {
	return strings.TrimSuffix(strings.Trim(l.Kind()+"/"+l.Name(), "/")+"."+l.Field(), ".")
}

func (c *configurationCheck) run(command *cobra.Command, arguments []string) error {
	if c.output != outputTable && c.output != outputJSON {
		return errors.Errorf("output %q is neither %q nor %q", c.output, outputTable, outputJSON)
	}
	current, err := readConfiguration(command, arguments)
	if err != nil {
		return err
	}
	servers, err := c.readServers()
	if err != nil {
		return err
	}
	if len(current.findings) == 0 {
		current.check(servers)
	}
	differences := []brfinding.Difference{}
	if c.inForce != "" {
		former, err := readConfiguration(command, []string{c.inForce})
		if err != nil {
			return err
		}
		differences = brfinding.Compare(former.declarations, current.declarations)
	}
	if err := c.print(command, current.findings, differences); err != nil {
		return err
	}
	for _, f := range current.findings {
		if f.Severity() == brfinding.SeverityError {
			return errInvalidConfiguration
		}
	}
	return nil
}

// readConfiguration reads all documents. Documents that can't be decoded become findings.
func readConfiguration(command *cobra.Command, paths []string) (*configuration, error) {
	c := &configuration{}
	for _, path := range paths {
		files, err := jsonFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			data, err := readAll(file, command.InOrStdin())
			if err != nil {
				return nil, errors.Errorf("read configuration: %w", err)
			}
			if err := c.decode(file, data); err != nil {
				c.findings = append(c.findings, unreadable(file, data, err))
			}
		}
	}
	return c, nil
}

func (c *configuration) decode(file string, data []byte) error {
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		return errors.Errorf("not a JSON document: %w", err)
	}
	decode, isPolicy := brdocument.Declarations, brwire.IsPolicy(data)
	if isPolicy {
		decode = brwire.Declarations
	}
	declarations, err := decode(data)
	if err != nil {
		return err
	}
	for _, d := range declarations {
		c.declarations = append(c.declarations, d.WithFile(file))
	}
	if isPolicy {
		policy, err := brwire.Policy(data)
		c.policy = broption.Some(policy)
		return err
	}
	resources, err := brdocument.DecodeResources(data)
	c.resources = append(c.resources, resources...)
	return err
}

// unreadable returns the finding of a document that can't be decoded.
func unreadable(file string, data []byte, err error) located {
	f := located{Finding: brfinding.New(brfinding.SeverityError, brfinding.CodeInvalid, "", "", "", err.Error()), file: file, line: 1}
	if invalid, ok := errors.Into[brdeclaration.ErrInvalid](err); ok {
		f.Finding = brfinding.New(brfinding.SeverityError, brfinding.CodeInvalid, "", "", "", invalid.Unwrap().Error())
		f.line = invalid.Line()
	}
	if syntax, ok := errors.Into[*json.SyntaxError](err); ok {
		before := string(data[:max(syntax.Offset-1, 0)])
		f.line = 1 + strings.Count(before, "\n")
		f.column = len(before) - strings.LastIndexByte(before, '\n')
	}
	return f
}

// check finds faults of documents that could be decoded.
func (c *configuration) check(servers broption.Option[[]brfleet.Server]) {
	findings := brfinding.CheckDeclarations(c.declarations)
	if policy, ok := c.policy.Get(); ok {
		findings = append(findings, brfinding.CheckPolicy(policy, servers)...)
	}
	if len(c.resources) > 0 {
		findings = append(findings, checkResources(c.resources)...)
	}
	for _, f := range findings {
		c.findings = append(c.findings, c.locate(f))
	}
}

// checkResources checks resources one by one, then against each other.
func checkResources(resources []brconfig.Resource) []brfinding.Finding {
	changes := []brconfig.Change{}
	for _, r := range resources {
		changes = append(changes, brconfig.Put(r))
	}
	findings := []brfinding.Finding{}
	if invalid, ok := errors.Into[brvalidation.ErrInvalid](brvalidation.CheckChanges(changes)); ok {
		for _, f := range invalid.FieldErrors() {
			resource, field, _ := strings.Cut(f.Path(), ".")
			kind, name, _ := strings.Cut(resource, "/")
			findings = append(findings, brfinding.New(brfinding.SeverityError, brfinding.CodeInvalid, kind, name, field, f.Message()))
		}
		return findings
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	if dangling, ok := errors.Into[brconfig.ErrDangling](err); ok {
		from := dangling.From()
		return append(findings, brfinding.New(brfinding.SeverityError, brfinding.CodeInvalid, string(from.Kind()), from.Name(), "", err.Error()))
	}
	if err != nil {
		return append(findings, brfinding.New(brfinding.SeverityError, brfinding.CodeInvalid, "", "", "", err.Error()))
	}
	return brfinding.CheckSnapshot(snapshot)
}

// locate adds the place of the resource.
func (c *configuration) locate(f brfinding.Finding) located {
	l := located{Finding: f, file: c.declarations[0].File(), line: 1}
	for _, d := range c.declarations {
		if d.Kind() == f.Kind() && d.Name() == f.Name() {
			l.file, l.line = d.File(), d.Line()
		}
	}
	return l
}

type serverEntry struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	Slots   int    `json:"slots"`
}

// readServers reads the file of servers, if there is one.
func (c *configurationCheck) readServers() (broption.Option[[]brfleet.Server], error) {
	if c.servers == "" {
		return broption.None[[]brfleet.Server](), nil
	}
	data, err := os.ReadFile(c.servers)
	if err != nil {
		return broption.None[[]brfleet.Server](), errors.Errorf("read servers: %w", err)
	}
	entries := []serverEntry{}
	if err := json.Unmarshal(data, &entries); err != nil {
		return broption.None[[]brfleet.Server](), errors.Errorf("decode servers of %s: %w", c.servers, err)
	}
	servers := make([]brfleet.Server, 0, len(entries))
	for i, e := range entries {
		servers = append(servers, brfleet.NewServer(fmt.Sprint(i), e.Service, "").WithLocation("", e.Region).WithSlots(e.Slots))
	}
	return broption.Some(servers), nil
}

type findingEntry struct {
	Severity string `json:"severity"`
	Code     string `json:"code"`
	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Name     string `json:"name,omitempty"`
	Field    string `json:"field,omitempty"`
	Message  string `json:"message"`
}

type differenceEntry struct {
	Action string   `json:"action"`
	Kind   string   `json:"kind"`
	Name   string   `json:"name"`
	Fields []string `json:"fields,omitempty"`
}

type checkReport struct {
	Findings    []findingEntry    `json:"findings"`
	Differences []differenceEntry `json:"differences"`
}

func (c *configurationCheck) print(command *cobra.Command, findings []located, differences []brfinding.Difference) error {
	if c.output == outputJSON {
		return printReport(command, findings, differences)
	}
	if len(findings) == 0 {
		command.Println("no findings")
	} else {
		rows := [][]string{{"PLACE", "SEVERITY", "CODE", "RESOURCE", "MESSAGE"}}
		for _, f := range findings {
			rows = append(rows, []string{f.place(), string(f.Severity()), string(f.Code()), f.subject(), f.Message()})
		}
		if err := printTable(command, rows); err != nil {
			return err
		}
	}
	if c.inForce == "" {
		return nil
	}
	rows := [][]string{{"ACTION", "KIND", "NAME", "FIELDS"}}
	for _, d := range differences {
		rows = append(rows, []string{string(d.Action()), d.Kind(), d.Name(), strings.Join(d.Fields(), ",")})
	}
	return printTable(command, rows)
}

func printReport(command *cobra.Command, findings []located, differences []brfinding.Difference) error {
	report := checkReport{Findings: []findingEntry{}, Differences: []differenceEntry{}}
	for _, f := range findings {
		report.Findings = append(report.Findings, findingEntry{
			Severity: string(f.Severity()), Code: string(f.Code()), File: f.file, Line: f.line, Column: f.column,
			Kind: f.Kind(), Name: f.Name(), Field: f.Field(), Message: f.Message(),
		})
	}
	for _, d := range differences {
		report.Differences = append(report.Differences, differenceEntry{Action: string(d.Action()), Kind: d.Kind(), Name: d.Name(), Fields: d.Fields()})
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Errorf("encode report: %w", err)
	}
	command.Println(string(data))
	return nil
}
