package brdocument

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	operationPrefix = "configuration/operations/"
	journalPrefix   = "configuration/journal/"
	// JournalPageSize is the number of generations whose journal entries share a key prefix.
	JournalPageSize = 100
	// maxEntryReferences is the maximum number of changed resources listed in an entry.
	maxEntryReferences = 64
	// maxSummaryReferences is the maximum number of resources listed in a summary.
	maxSummaryReferences = 3
)

// OperationKey returns the key of the row that records an accepted operation.
func OperationKey(operation string) string { return operationPrefix + operation }

// EntryKey returns the key of the journal row of a generation.
func EntryKey(generation uint64) string {
	return fmt.Sprintf("%s%04d", JournalPagePrefix(generation), generation%JournalPageSize)
}

// JournalPagePrefix returns the key prefix that a generation shares with the other
// generations of its journal page.
func JournalPagePrefix(generation uint64) string {
	return fmt.Sprintf("%s%020d/", journalPrefix, generation/JournalPageSize)
}

// Entry is the journal record of one accepted change. It is immutable.
type Entry struct {
	head        Head
	operation   string
	fingerprint string
	author      string
	team        string
	time        time.Time
	references  []brconfig.Reference
	count       int
}

// NewEntry returns the entry of the change that created a head. The fingerprint
// distinguishes different requests that use the same operation identifier.
func NewEntry(head Head, operation, fingerprint, author, team string, at time.Time) Entry {
	return Entry{head: head, operation: operation, fingerprint: fingerprint, author: author, team: team, time: at}
}

// WithChanges returns the entry with the number of changed resources and a bounded
// list of them.
func (e Entry) WithChanges(changes []brconfig.Change) Entry {
	e.count = len(changes)
	e.references = nil
	for _, c := range changes[:min(len(changes), maxEntryReferences)] {
		e.references = append(e.references, c.Reference())
	}
	return e
}

// Head returns the head that the change created.
func (e Entry) Head() Head { return e.head }

// Generation returns the generation that the change created.
func (e Entry) Generation() uint64 { return e.head.generation }

// Operation returns the identifier of the operation.
func (e Entry) Operation() string { return e.operation }

// Fingerprint returns the fingerprint of the request.
func (e Entry) Fingerprint() string { return e.fingerprint }

// Author returns the author of the change.
func (e Entry) Author() string { return e.author }

// Team returns the team of the author.
func (e Entry) Team() string { return e.team }

// Time returns the time of the change by the clock of the VM that accepted it.
func (e Entry) Time() time.Time { return e.time }

// References returns the changed resources, possibly truncated; Count gives their
// total. The caller must not modify the slice.
func (e Entry) References() []brconfig.Reference { return e.references }

// Count returns the total number of changed resources.
func (e Entry) Count() int { return e.count }

// Summary lists the first changed resources and the number of the others.
func (e Entry) Summary() string {
	named := e.references[:min(len(e.references), maxSummaryReferences)]
	parts := make([]string, 0, len(named)+1)
	for _, r := range named {
		parts = append(parts, r.String())
	}
	if more := e.count - len(named); more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, " ")
}

// MayAffect reports whether the change may have affected a resource. It is true for
// every resource if the list of changed resources was truncated.
func (e Entry) MayAffect(reference brconfig.Reference) bool {
	if e.count > len(e.references) {
		return true
	}
	for _, r := range e.references {
		if r == reference {
			return true
		}
	}
	return false
}

type entryDocument struct {
	Head        headDocument        `json:"head"`
	Operation   string              `json:"operation"`
	Fingerprint string              `json:"fingerprint"`
	Author      string              `json:"author"`
	Team        string              `json:"team,omitempty"`
	Time        time.Time           `json:"time"`
	References  []referenceDocument `json:"references"`
	Count       int                 `json:"count"`
}

// EncodeEntry encodes a journal entry as JSON.
func EncodeEntry(entry Entry) ([]byte, error) {
	document := entryDocument{
		Head:        newHeadDocument(entry.head),
		Operation:   entry.operation,
		Fingerprint: entry.fingerprint,
		Author:      entry.author,
		Team:        entry.team,
		Time:        entry.time,
		Count:       entry.count,
	}
	for _, r := range entry.references {
		document.References = append(document.References, referenceDocument{Kind: string(r.Kind()), Name: r.Name()})
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Errorf("encode entry of generation %d: %w", entry.Generation(), err)
	}
	return data, nil
}

// DecodeEntry decodes a journal entry from JSON.
func DecodeEntry(data []byte) (Entry, error) {
	var d entryDocument
	if err := decodeStrict(data, &d); err != nil {
		return Entry{}, errors.Errorf("decode entry: %w", err)
	}
	entry := NewEntry(d.Head.head(), d.Operation, d.Fingerprint, d.Author, d.Team, d.Time)
	entry.count = d.Count
	for _, r := range d.References {
		entry.references = append(entry.references, brconfig.NewReference(brconfig.Kind(r.Kind), r.Name))
	}
	return entry, nil
}
