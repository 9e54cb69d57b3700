package brdocument

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	operationPrefix = "configuration/operations/"
	journalPrefix   = "configuration/journal/"
	// JournalPage is the number of generations whose entries share a prefix of keys.
	JournalPage = 100
	// maxEntryReferences bounds the resources that an entry names.
	maxEntryReferences = 64
)

// OperationKey returns the key of the row that an accepted operation leaves.
func OperationKey(operation string) string { return operationPrefix + operation }

// EntryKey returns the key of the journal's row of a generation.
func EntryKey(generation uint64) string {
	return fmt.Sprintf("%s%04d", EntryPrefix(generation), generation%JournalPage)
}

// EntryPrefix returns the prefix of the keys of a generation and its neighbours.
func EntryPrefix(generation uint64) string {
	return fmt.Sprintf("%s%020d/", journalPrefix, generation/JournalPage)
}

// Entry is what the journal tells of one accepted change. It is immutable.
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

// NewEntry returns the entry of the change that led to a head. The fingerprint
// tells apart two requests that use one operation's identifier.
func NewEntry(head Head, operation, fingerprint, author, team string, at time.Time) Entry {
	return Entry{head: head, operation: operation, fingerprint: fingerprint, author: author, team: team, time: at}
}

// WithChanges returns the entry with the resources that were changed; it names
// some of them and counts all.
func (e Entry) WithChanges(changes []brconfig.Change) Entry {
	e.count = len(changes)
	e.references = nil
	for _, c := range changes[:min(len(changes), maxEntryReferences)] {
		e.references = append(e.references, c.Reference())
	}
	return e
}

// Head returns the head that the change led to.
func (e Entry) Head() Head { return e.head }

// Generation returns the generation that the change led to.
func (e Entry) Generation() uint64 { return e.head.generation }

// Operation returns the identifier of the operation.
func (e Entry) Operation() string { return e.operation }

// Fingerprint returns what tells apart two requests with one identifier.
func (e Entry) Fingerprint() string { return e.fingerprint }

// Author returns who made the change.
func (e Entry) Author() string { return e.author }

// Team returns the author's team.
func (e Entry) Team() string { return e.team }

// Time returns when the change was made, by the clock of the VM that took it.
func (e Entry) Time() time.Time { return e.time }

// References returns changed resources, up to a bound. The caller must not change the slice.
func (e Entry) References() []brconfig.Reference { return e.references }

// Count returns the number of changed resources.
func (e Entry) Count() int { return e.count }

// Touches reports whether the change altered a resource, or may have: an entry
// that does not name all resources may have altered any.
func (e Entry) Touches(reference brconfig.Reference) bool {
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

// EncodeEntry writes an entry.
func EncodeEntry(entry Entry) ([]byte, error) {
	document := entryDocument{
		Head:        documentOfHead(entry.head),
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

// DecodeEntry reads an entry.
func DecodeEntry(data []byte) (Entry, error) {
	var d entryDocument
	if err := strictly(data, &d); err != nil {
		return Entry{}, errors.Errorf("read entry: %w", err)
	}
	entry := NewEntry(d.Head.head(), d.Operation, d.Fingerprint, d.Author, d.Team, d.Time)
	entry.count = d.Count
	for _, r := range d.References {
		entry.references = append(entry.references, brconfig.NewReference(brconfig.Kind(r.Kind), r.Name))
	}
	return entry, nil
}
