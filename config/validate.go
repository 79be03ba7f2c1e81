package config

import (
	"fmt"

	"github.com/slatebridge/slatebridge"
)

// maxPriority is the largest valid priority of a service instance.
const maxPriority = 9

// validate returns the reason to reject the record, or "" to accept it. It depends only
// on the state and the record, so that all readers reach the same result. The other
// validate functions return a reason in the same way.
func (s *State) validate(rec Record) string {
	if rec.ID == "" {
		return "the record has no ID"
	}
	current := s.objects[rec.Object]
	if current.Revision != rec.BaseRevision {
		return staleBaseReason(rec, current)
	}
	switch rec.Action {
	case Put:
		return s.validatePut(rec)
	case Delete:
		return s.validateDelete(rec)
	default:
		return fmt.Sprintf("unknown action %q", rec.Action)
	}
}

// staleBaseReason returns the reason to reject a record whose base revision is not the
// current one.
func staleBaseReason(rec Record, current Object) string {
	if current.Revision == 0 {
		return fmt.Sprintf("based on revision %d, but the object does not exist", rec.BaseRevision)
	}

	return fmt.Sprintf("based on revision %d, but revision %d by %s came first",
		rec.BaseRevision, current.Revision, current.Author)
}

func (s *State) validatePut(rec Record) string {
	switch rec.Object.Kind {
	case TemplateObject:
		return validateValue(rec, validateTemplate)
	case InstanceObject:
		return validateValue(rec, s.validateInstance)
	case AccountObject:
		return validateValue(rec, validateAccount)
	case PlannedStopObject:
		return validateValue(rec, validatePlannedStop)
	default:
		return fmt.Sprintf("unknown kind of object %q", rec.Object.Kind)
	}
}

// validateValue decodes the record's value and passes it to the given function.
func validateValue[T any](rec Record, validate func(name string, v T) string) string {
	v, err := decodeStrict[T](rec.Value)
	if err != nil {
		return "value: " + err.Error()
	}

	return validate(rec.Object.Name, v)
}

func validateTemplate(name string, t slatebridge.Template) string {
	switch {
	case t.Name != name:
		return "name in the value differs from the object's name"
	case t.Timeout <= 0:
		return "timeout must be more than zero"
	case t.Kind != slatebridge.ModelService && t.Kind != slatebridge.PlainService:
		return fmt.Sprintf("unknown kind of service %q", t.Kind)
	case t.Kind == slatebridge.ModelService && t.Layers <= 0:
		return "layers must be more than zero"
	case t.Kind == slatebridge.ModelService && t.Deduplication != slatebridge.Idempotent:
		return "a model service needs duplicates = \"repeatable\""
	}
	switch t.Deduplication {
	case slatebridge.Idempotent, slatebridge.DeduplicatedByService, slatebridge.DeduplicatedByRouter:
		return ""
	default:
		return fmt.Sprintf("field duplicates: unknown value %q", t.Deduplication)
	}
}

func (s *State) validateInstance(name string, i slatebridge.Instance) string {
	if i.Account+"/"+i.Name != name {
		return "account and name in the value differ from the object's name"
	}
	t, ok := s.objects[ObjectID{Kind: TemplateObject, Name: i.Template}]
	if !ok {
		return fmt.Sprintf("there is no template %q", i.Template)
	}
	if _, ok := s.objects[ObjectID{Kind: AccountObject, Name: i.Account}]; !ok {
		return fmt.Sprintf("there is no account %q", i.Account)
	}
	template, err := decodeStrict[slatebridge.Template](t.Value)
	if err != nil {
		return "template: " + err.Error()
	}
	switch {
	case i.Priority < 0 || i.Priority > maxPriority:
		return fmt.Sprintf("priority must be from 0 to %d", maxPriority)
	case i.Weight < 0:
		return "weight must not be negative"
	case template.Kind == slatebridge.ModelService && i.Model.Model == "":
		return "an instance of a model service needs a model"
	default:
		return ""
	}
}

func validateAccount(name string, a slatebridge.Account) string {
	switch {
	case a.Name != name:
		return "name in the value differs from the object's name"
	case a.RequestsPerSecond <= 0:
		return "requests_per_second must be more than zero"
	case a.MaxConcurrency <= 0:
		return "concurrency must be more than zero"
	default:
		return ""
	}
}

func validatePlannedStop(name string, p slatebridge.PlannedStop) string {
	switch {
	case p.Target != name:
		return "target in the value differs from the object's name"
	case p.At.IsZero():
		return "a planned stop needs a time"
	default:
		return ""
	}
}

func (s *State) validateDelete(rec Record) string {
	if rec.BaseRevision == 0 {
		return "the object does not exist"
	}
	for _, o := range s.Objects() {
		if o.ID.Kind == InstanceObject && references(o, rec.Object) {
			return fmt.Sprintf("%s still refers to it", o.ID)
		}
	}

	return ""
}

// references reports whether o is a service instance that uses the template or client account with
// the given ID.
func references(o Object, id ObjectID) bool {
	i, err := decodeStrict[slatebridge.Instance](o.Value)
	if err != nil {
		return false
	}
	switch id.Kind {
	case TemplateObject:
		return i.Template == id.Name
	case AccountObject:
		return i.Account == id.Name
	default:
		return false
	}
}
