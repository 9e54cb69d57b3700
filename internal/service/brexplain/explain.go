// Package brexplain searches the logs of entry VMs for a request and for the state
// of the VM that handled it.
//
// The logs are read as lines of JSON. Besides the lines of the request itself, the
// last line of each kind about the VM's configuration, source and servers is shown,
// since the VM decided by these.
//
// # Usage
//
//	log := brexplain.New()
//	err := log.Read(file)
//	for _, line := range log.Explain("9c41d07be2a35f68") {
//		fmt.Println(line)
//	}
package brexplain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// beliefs are the messages about changes of a VM's state.
var beliefs = []string{
	"record changed", "source changed", "source lost", "store lost", "store regained",
	"rollout ruled", "VM started", "VM stops", "settings reloaded", "log lines left out",
}

// hidden are the fields that String leaves out, since it shows them elsewhere or they
// are the same in all lines.
var hidden = []string{"time", "msg", "level", "vm", "request"}

// Log holds the log lines of any number of VMs.
type Log struct {
	lines   []line
	skipped int
}

// line is a log line.
type line struct {
	time    string
	vm      string
	message string
	request string
	fields  map[string]any
}

// New returns an empty log.
func New() *Log { return &Log{} }

// Read adds the lines of a file. Text before the first brace of a line, such as the
// time and the name that a log collector adds, is ignored. Lines without a brace are
// ignored, and those with invalid JSON are counted as skipped.
func (l *Log) Read(file io.Reader) error {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
			l.skipped++
			continue
		}
		l.lines = append(l.lines, line{
			time:    word(fields, "time"),
			vm:      word(fields, "vm"),
			message: word(fields, "msg"),
			request: word(fields, "request"),
			fields:  fields,
		})
	}
	if err := scanner.Err(); err != nil {
		return errors.Errorf("read log: %w", err)
	}
	return nil
}

// Skipped returns the number of lines with invalid JSON.
func (l *Log) Skipped() int { return l.skipped }

// Explain returns the lines of a request in the order of time. Before the first line
// of each VM, it returns the VM's latest lines about its state: the configuration,
// its source of records and its settings. Before a line that names a server, it
// returns the latest line about this server.
func (l *Log) Explain(request string) []string {
	slices.SortStableFunc(l.lines, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	latest := map[string]line{}
	text := []string{}
	told := map[string]bool{}
	for _, one := range l.lines {
		if one.request == "" {
			latest[one.subject()] = one
			continue
		}
		if one.request != request {
			continue
		}
		if !told[one.vm] {
			told[one.vm] = true
			text = append(text, believed(latest, one)...)
		}
		if server := word(one.fields, "server"); server != "" {
			text = append(text, ofServer(latest, one.vm, server)...)
		}
		text = append(text, one.String())
	}
	return slices.Compact(text)
}

// subject returns a key for what a line is about. A later line with the same subject
// replaces an earlier one.
func (l line) subject() string {
	subject := l.vm + " " + l.message
	if l.message == "record changed" {
		subject += " " + word(l.fields, "area") + " " + word(l.fields, "key")
	}
	return subject
}

// believed returns the latest lines about a VM's state, without those about servers.
func believed(latest map[string]line, at line) []string {
	found := []line{}
	for _, one := range latest {
		record := one.message == "record changed" && word(one.fields, "area") != "orders"
		if one.vm == at.vm && slices.Contains(beliefs, one.message) && !record {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	text := []string{}
	for _, one := range found {
		text = append(text, one.String())
	}
	return text
}

func ofServer(latest map[string]line, vm, server string) []string {
	one, ok := latest[vm+" record changed servers "+server]
	if !ok {
		return nil
	}
	return []string{one.String()}
}

// String returns the line as text: the time, the VM and the message, then the fields
// by name.
func (l line) String() string {
	text := &strings.Builder{}
	_, _ = fmt.Fprintf(text, "%s %s %s", l.time, l.vm, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(hidden, name) && l.fields[name] != "" {
			_, _ = fmt.Fprintf(text, " %s=%v", name, l.fields[name])
		}
	}
	return text.String()
}

func word(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}
