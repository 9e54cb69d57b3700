package bradministration

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// ErrResourceNotExist says that there is no resource of a kind and name.
type ErrResourceNotExist struct {
	reference brconfig.Reference
}

// NewErrResourceNotExist returns the error for a resource.
func NewErrResourceNotExist(reference brconfig.Reference) ErrResourceNotExist {
	return ErrResourceNotExist{reference: reference}
}

// Error names the resource.
func (e ErrResourceNotExist) Error() string { return fmt.Sprintf("%s does not exist", e.reference) }

// IsErrResourceNotExist reports whether err is or wraps ErrResourceNotExist.
func IsErrResourceNotExist(err error) bool {
	_, ok := errors.Into[ErrResourceNotExist](err)
	return ok
}

// Deleting returns the edit that deletes a resource, which must exist.
func Deleting(reference brconfig.Reference) Edit {
	return func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error) {
		if !snapshot.Get(reference).IsPresent() {
			return nil, ErrResourceNotExist{reference: reference}
		}
		return []brconfig.Change{brconfig.Delete(reference)}, nil
	}
}

// Labelling returns the edit that sets and removes labels of a resource.
func Labelling(reference brconfig.Reference, set map[string]string, remove []string) Edit {
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
