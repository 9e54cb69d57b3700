package brconfig

import (
	"iter"

	"github.com/benbjohnson/immutable"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Table is an immutable table of the resources of one kind, indexed by name.
// Tables of successive generations share unchanged nodes.
type Table[T Resource] struct {
	rows *immutable.SortedMap[string, T]
}

// Get returns the resource with the given name.
func (t Table[T]) Get(name string) broption.Option[T] {
	if t.rows == nil {
		return broption.None[T]()
	}
	row, ok := t.rows.Get(name)
	return broption.Of(row, ok)
}

// Len returns the number of resources.
func (t Table[T]) Len() int {
	if t.rows == nil {
		return 0
	}
	return t.rows.Len()
}

// All iterates over the resources in ascending order of name.
func (t Table[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		if t.rows == nil {
			return
		}
		rows := t.rows.Iterator()
		for !rows.Done() {
			_, row, _ := rows.Next()
			if !yield(row) {
				return
			}
		}
	}
}

// AllAfter iterates over the resources whose names sort after the given one, in
// ascending order of name.
func (t Table[T]) AllAfter(name string) iter.Seq[T] {
	return func(yield func(T) bool) {
		if t.rows == nil {
			return
		}
		rows := t.rows.Iterator()
		rows.Seek(name)
		for !rows.Done() {
			key, row, _ := rows.Next()
			if key != name && !yield(row) {
				return
			}
		}
	}
}

func (t Table[T]) put(row T) Table[T] {
	rows := t.rows
	if rows == nil {
		rows = immutable.NewSortedMap[string, T](nil)
	}
	return Table[T]{rows: rows.Set(row.Name(), row)}
}

func (t Table[T]) remove(name string) Table[T] {
	if t.rows == nil {
		return t
	}
	return Table[T]{rows: t.rows.Delete(name)}
}

// resourceTable is the type-erased interface of a Table.
type resourceTable interface {
	get(name string) broption.Option[Resource]
	all() iter.Seq[Resource]
	count() int
	allAfter(name string) iter.Seq[Resource]
	put(row Resource) (resourceTable, bool)
	remove(name string) resourceTable
}

// tableAdapter implements resourceTable for a Table.
type tableAdapter[T Resource] struct {
	table Table[T]
}

func (a tableAdapter[T]) get(name string) broption.Option[Resource] {
	row, ok := a.table.Get(name).Get()
	return broption.Of[Resource](row, ok)
}

func (a tableAdapter[T]) all() iter.Seq[Resource] {
	return func(yield func(Resource) bool) {
		for row := range a.table.All() {
			if !yield(row) {
				return
			}
		}
	}
}

func (a tableAdapter[T]) count() int { return a.table.Len() }

func (a tableAdapter[T]) allAfter(name string) iter.Seq[Resource] {
	return func(yield func(Resource) bool) {
		for row := range a.table.AllAfter(name) {
			if !yield(row) {
				return
			}
		}
	}
}

func (a tableAdapter[T]) put(row Resource) (resourceTable, bool) {
	typed, ok := row.(T)
	if !ok {
		return a, false
	}
	return tableAdapter[T]{table: a.table.put(typed)}, true
}

func (a tableAdapter[T]) remove(name string) resourceTable {
	return tableAdapter[T]{table: a.table.remove(name)}
}
