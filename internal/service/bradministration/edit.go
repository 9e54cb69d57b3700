package bradministration

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// ErrResourceNotExist is returned if no resource of the kind and name exists.
type ErrResourceNotExist struct {
	reference brconfig.Reference
}

// NewErrResourceNotExist returns the error for a resource.
func NewErrResourceNotExist(reference brconfig.Reference) ErrResourceNotExist {
	return ErrResourceNotExist{reference: reference}
}

// Error includes the kind and name of the resource.
func (e ErrResourceNotExist) Error() string { return fmt.Sprintf("%s does not exist", e.reference) }

// IsErrResourceNotExist reports whether err is or wraps ErrResourceNotExist.
func IsErrResourceNotExist(err error) bool {
	_, ok := errors.Into[ErrResourceNotExist](err)
	return ok
}

// DeleteEdit returns an edit that deletes a resource. The edit fails if the resource
// does not exist.
func DeleteEdit(reference brconfig.Reference) Edit {
	return func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error) {
		if !snapshot.Get(reference).IsPresent() {
			return nil, ErrResourceNotExist{reference: reference}
		}
		return []brconfig.Change{brconfig.Delete(reference)}, nil
	}
}

// LabelEdit returns an edit that sets and removes labels of a resource.
func LabelEdit(reference brconfig.Reference, set map[string]string, remove []string) Edit {
	return func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error) {
		resource, ok := snapshot.Get(reference).Get()
		if !ok {
			return nil, ErrResourceNotExist{reference: reference}
		}
		labels := resource.Labels()
		for name, value := range set {
			labels = labels.With(name, value)
		}
		for _, name := range remove {
			labels = labels.Without(name)
		}
		return []brconfig.Change{brconfig.Put(brconfig.Relabel(resource, labels))}, nil
	}
}
