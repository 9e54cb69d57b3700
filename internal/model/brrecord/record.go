// Package brrecord provides the records of the platform's store as VMs cache and
// replicate them: an area, a key, a revision and a payload that only the
// platform's adapter can decode.
//
// # Usage
//
//	record := brrecord.New(brrecord.AreaServers, "i-7", 412, payload)
//	deleted := record.WithDeleted(413)
package brrecord

// Area is a set of records that are queried together.
type Area int

// The areas.
const (
	// AreaOrders holds the operators' orders: configurations, rollouts, evacuations.
	AreaOrders Area = iota
	// AreaServers holds the registrations of backend servers.
	AreaServers
	// AreaResults holds the results of the operators' orders.
	AreaResults
	// AreaVMs holds the registrations of entry VMs.
	AreaVMs
	// AreaCount is the number of areas.
	AreaCount
)

var areaNames = [AreaCount]string{"orders", "servers", "results", "vms"}

// String returns the area's name in logs and metrics.
func (a Area) String() string { return areaNames[a] }

// Record is a record at one revision. It is immutable.
type Record struct {
	area     Area
	key      string
	revision Revision
	payload  []byte
	deleted  bool
}

// New returns a record. The payload must not be modified afterwards.
func New(area Area, key string, revision Revision, payload []byte) Record {
	return Record{area: area, key: key, revision: revision, payload: payload}
}

// WithDeleted returns the record as deleted at a revision.
func (r Record) WithDeleted(revision Revision) Record {
	r.revision = revision
	r.payload = nil
	r.deleted = true
	return r
}

// Area returns the record's area.
func (r Record) Area() Area { return r.area }

// Key returns the record's key within its area.
func (r Record) Key() string { return r.key }

// Revision returns the number of the change that wrote the record.
func (r Record) Revision() Revision { return r.revision }

// Payload returns the encoded content, or nil if the record was deleted. It must
// not be modified.
func (r Record) Payload() []byte { return r.payload }

// Deleted reports whether the record was deleted.
func (r Record) Deleted() bool { return r.deleted }
