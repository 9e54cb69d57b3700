// Package brexplain searches the logs of entry VMs for a request and for the state
// of the VMs that handled it.
//
// The logs are read as lines of JSON. Besides the lines of the request itself, the
// last lines about the VM's configuration, record source and settings and about the
// servers that the request was sent to are returned, since the VM based its decisions
// on these.
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

// stateMessages are the log messages about changes of a VM's state.
var stateMessages = []string{
	"record changed", "source changed", "source lost", "store lost", "store regained",
	"rollout ruled", "VM started", "VM stops", "VM failed", "settings reloaded", "log lines left out",
}

// serverMessages are the log messages about a server, besides its record.
var serverMessages = []string{"server leaves", "server wants no requests"}

// omittedFields are the fields that String does not list by name: it prints them at the
// start of the line, or they do not help the reader.
var omittedFields = []string{"time", "msg", "level", "vm", "request"}

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
			time:    stringField(fields, "time"),
			vm:      stringField(fields, "vm"),
			message: stringField(fields, "msg"),
			request: stringField(fields, "request"),
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
	described := map[string]bool{}
	for _, entry := range l.lines {
		if entry.request == "" {
			latest[entry.subject()] = entry
			continue
		}
		if entry.request != request {
			continue
		}
		if !described[entry.vm] {
			described[entry.vm] = true
			text = append(text, latestState(latest, entry)...)
		}
		if server := stringField(entry.fields, "server"); server != "" {
			text = append(text, latestOfServer(latest, entry.vm, server)...)
		}
		text = append(text, entry.String())
	}
	return slices.Compact(text)
}

// subject returns a key for what a line is about. A later line with the same subject
// replaces an earlier one.
func (l line) subject() string {
	subject := l.vm + " " + l.message
	if l.message == "record changed" {
		subject += " " + stringField(l.fields, "area") + " " + stringField(l.fields, "key")
	}
	if slices.Contains(serverMessages, l.message) {
		subject += " " + stringField(l.fields, "server")
	}
	return subject
}

// latestState returns the latest lines about the state of a VM. Of its records, it
// includes only those of the area "orders": configurations, rollouts and evacuations.
func latestState(latest map[string]line, requestLine line) []string {
	found := []line{}
	for _, entry := range latest {
		isOtherRecord := entry.message == "record changed" && stringField(entry.fields, "area") != "orders"
		if entry.vm == requestLine.vm && slices.Contains(stateMessages, entry.message) && !isOtherRecord {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	text := []string{}
	for _, entry := range found {
		text = append(text, entry.String())
	}
	return text
}

// latestOfServer returns the latest lines of a VM about a server: its record, and what the
// server said in its responses.
func latestOfServer(latest map[string]line, vm, server string) []string {
	text := []string{}
	for _, message := range append([]string{"record changed servers"}, serverMessages...) {
		if entry, ok := latest[vm+" "+message+" "+server]; ok {
			text = append(text, entry.String())
		}
	}
	return text
}

// String returns the line as text: the time, the VM and the message, then the fields
// by name.
func (l line) String() string {
	text := &strings.Builder{}
	_, _ = fmt.Fprintf(text, "%s %s %s", l.time, l.vm, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(omittedFields, name) && l.fields[name] != "" {
			_, _ = fmt.Fprintf(text, " %s=%v", name, l.fields[name])
		}
	}
	return text.String()
}

func stringField(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}
