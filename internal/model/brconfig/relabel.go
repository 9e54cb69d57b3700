package brconfig

import "bergamotroad.example/bergamotroad/internal/model/brlabel"

// Relabel returns a copy of the resource with its labels replaced.
func Relabel(resource Resource, labels brlabel.Labels) Resource {
	switch r := resource.(type) {
	case Region:
		r.Meta = r.WithLabels(labels)
		return r
	case Domain:
		r.Meta = r.WithLabels(labels)
		return r
	case Link:
		r.Meta = r.WithLabels(labels)
		return r
	case Site:
		r.Meta = r.WithLabels(labels)
		return r
	case Block:
		r.Meta = r.WithLabels(labels)
		return r
	case VM:
		r.Meta = r.WithLabels(labels)
		return r
	case Organisation:
		r.Meta = r.WithLabels(labels)
		return r
	case Key:
		r.Meta = r.WithLabels(labels)
		return r
	case Unit:
		r.Meta = r.WithLabels(labels)
		return r
	case Contract:
		r.Meta = r.WithLabels(labels)
		return r
	case Service:
		r.Meta = r.WithLabels(labels)
		return r
	case Server:
		r.Meta = r.WithLabels(labels)
		return r
	case Route:
		r.Meta = r.WithLabels(labels)
		return r
	case Team:
		r.Meta = r.WithLabels(labels)
		return r
	case Token:
		r.Meta = r.WithLabels(labels)
		return r
	case Selector:
		r.Meta = r.WithLabels(labels)
		return r
	case Move:
		r.Meta = r.WithLabels(labels)
		return r
	case Drain:
		r.Meta = r.WithLabels(labels)
		return r
	default:
		return resource
	}
}
