package brconfig

import "time"

// Region is a group of failure domains.
type Region struct {
	Meta
	capacity int
}

// NewRegion returns a region without an explicit capacity.
func NewRegion(meta Meta) Region {
	return Region{Meta: meta}
}

// WithCapacity returns the region with the maximum number of concurrent requests;
// 0 means that only the slots of its backend servers limit it.
func (r Region) WithCapacity(requests int) Region {
	r.capacity = requests
	return r
}

// Kind returns KindRegion.
func (Region) Kind() Kind { return KindRegion }

// References returns nil, since a region refers to no other resource.
func (Region) References() []Reference { return nil }

// Capacity returns the maximum number of concurrent requests in the region, or 0
// if only the slots of its backend servers limit it.
func (r Region) Capacity() int { return r.capacity }

// Domain is a failure domain of a region.
type Domain struct {
	Meta
	region string
}

// NewDomain returns a failure domain of a region.
func NewDomain(meta Meta, region string) Domain {
	return Domain{Meta: meta, region: region}
}

// Kind returns KindDomain.
func (Domain) Kind() Kind { return KindDomain }

// References returns a reference to the region.
func (d Domain) References() []Reference {
	return []Reference{NewReference(KindRegion, d.region)}
}

// Region returns the name of the region.
func (d Domain) Region() string { return d.region }

// Link is a unidirectional network path from one region to another.
type Link struct {
	Meta
	from           string
	to             string
	bytesPerSecond int64
	delay          time.Duration
}

// NewLink returns a link with the given bandwidth and one-way delay.
func NewLink(meta Meta, from, to string, bytesPerSecond int64, delay time.Duration) Link {
	return Link{Meta: meta, from: from, to: to, bytesPerSecond: bytesPerSecond, delay: delay}
}

// Kind returns KindLink.
func (Link) Kind() Kind { return KindLink }

// References returns references to both regions.
func (l Link) References() []Reference {
	return []Reference{NewReference(KindRegion, l.from), NewReference(KindRegion, l.to)}
}

// From returns the name of the sending region.
func (l Link) From() string { return l.from }

// To returns the name of the receiving region.
func (l Link) To() string { return l.to }

// BytesPerSecond returns the bandwidth of the link.
func (l Link) BytesPerSecond() int64 { return l.bytesPerSecond }

// Delay returns the one-way delay.
func (l Link) Delay() time.Duration { return l.delay }

// Site is a group of entry VMs in one failure domain to which clients are routed.
type Site struct {
	Meta
	domain string
}

// NewSite returns a site of a failure domain.
func NewSite(meta Meta, domain string) Site {
	return Site{Meta: meta, domain: domain}
}

// Kind returns KindSite.
func (Site) Kind() Kind { return KindSite }

// References returns a reference to the failure domain.
func (s Site) References() []Reference {
	return []Reference{NewReference(KindDomain, s.domain)}
}

// Domain returns the name of the failure domain.
func (s Site) Domain() string { return s.domain }

// VM is an entry VM of a site.
type VM struct {
	Meta
	site          string
	callerAddress string
	peerAddress   string
}

// NewVM returns an entry VM with its addresses for callers and for other entry
// VMs, each in the form host:port.
func NewVM(meta Meta, site, callerAddress, peerAddress string) VM {
	return VM{Meta: meta, site: site, callerAddress: callerAddress, peerAddress: peerAddress}
}

// Kind returns KindVM.
func (VM) Kind() Kind { return KindVM }

// References returns a reference to the site.
func (v VM) References() []Reference {
	return []Reference{NewReference(KindSite, v.site)}
}

// Site returns the name of the site.
func (v VM) Site() string { return v.site }

// CallerAddress returns the host:port address for callers.
func (v VM) CallerAddress() string { return v.callerAddress }

// PeerAddress returns the host:port address for other entry VMs.
func (v VM) PeerAddress() string { return v.peerAddress }
