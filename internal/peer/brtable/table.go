// Package brtable is the client of the platform's transactional table service.
//
// A transaction has preconditions on the versions of rows and writes rows only if
// all of them hold. Its outcome may be unknown, since the response can be lost
// after the write has taken effect. Callers then read the rows to find out.
//
// Client uses the JSON form of the etcd v3 key-value protocol (range and txn). The
// packages under internal/decide do not import this package.
//
// # Usage
//
//	table := brtable.NewClient(httpClient, "http://10.0.0.9:2379", time.Second)
//	row, err := table.Read(ctx, "configuration/head")
//	if brtable.IsErrRowNotExist(err) {
//		err = table.Commit(ctx, brtable.NewTransaction().
//			Require("configuration/head", 0).
//			Put("configuration/head", value))
//	}
package brtable

import "context"

// Table is the platform's table service.
type Table interface {
	// Read returns a row. It returns ErrRowNotExist or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys start with a prefix, by ascending key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit writes all rows of the transaction or none. It returns
	// ErrPrecondition if a precondition does not hold, ErrUnavailable if
	// nothing was written, and ErrOutcomeUnknown if the rows may have been written.
	Commit(ctx context.Context, transaction Transaction) error
}

// Row is a row with the version at which it was read.
type Row struct {
	key     string
	value   []byte
	version int64
}

// NewRow returns a row at a version. Versions of existing rows are above 0.
func NewRow(key string, value []byte, version int64) Row {
	return Row{key: key, value: value, version: version}
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value. The caller must not change the slice.
func (r Row) Value() []byte { return r.value }

// Version returns the version, which increases with each write of the row.
func (r Row) Version() int64 { return r.version }

// Precondition requires that a row has a version; 0 requires that the row does not
// exist.
type Precondition struct {
	key     string
	version int64
}

// Key returns the key.
func (p Precondition) Key() string { return p.key }

// Version returns the required version, or 0 for a row that must not exist.
func (p Precondition) Version() int64 { return p.version }

// Write puts or deletes a row.
type Write struct {
	key     string
	value   []byte
	deletes bool
}

// Key returns the key.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// Deletes reports whether the row is deleted.
func (w Write) Deletes() bool { return w.deletes }

// Transaction is a set of preconditions and writes. It is immutable.
type Transaction struct {
	preconditions []Precondition
	writes        []Write
}

// NewTransaction returns an empty transaction.
func NewTransaction() Transaction {
	return Transaction{}
}

// Require returns the transaction with an additional precondition.
func (t Transaction) Require(key string, version int64) Transaction {
	t.preconditions = append(t.preconditions[:len(t.preconditions):len(t.preconditions)], Precondition{key: key, version: version})
	return t
}

// Put returns the transaction with an additional row to write.
func (t Transaction) Put(key string, value []byte) Transaction {
	return t.write(Write{key: key, value: value})
}

// Delete returns the transaction with an additional row to delete.
func (t Transaction) Delete(key string) Transaction {
	return t.write(Write{key: key, deletes: true})
}

// Preconditions returns the preconditions. The caller must not change the slice.
func (t Transaction) Preconditions() []Precondition { return t.preconditions }

// Writes returns the writes. The caller must not change the slice.
func (t Transaction) Writes() []Write { return t.writes }

func (t Transaction) write(w Write) Transaction {
	t.writes = append(t.writes[:len(t.writes):len(t.writes)], w)
	return t
}
