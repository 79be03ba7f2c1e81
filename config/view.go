package config

import (
	"github.com/slatebridge/slatebridge"
)

// View is the configuration decoded into typed values.
type View struct {
	Services     []slatebridge.Service
	Accounts     []slatebridge.Account
	PlannedStops []slatebridge.PlannedStop
}

// View returns the objects as typed values, sorted by name.
func (s State) View() View {
	var v View
	templates := make(map[string]slatebridge.Template)
	for _, t := range decodeObjects[slatebridge.Template](s, TemplateObject) {
		templates[t.Name] = t
	}
	for _, i := range decodeObjects[slatebridge.Instance](s, InstanceObject) {
		v.Services = append(v.Services, slatebridge.Service{Instance: i, Template: templates[i.Template]})
	}
	v.Accounts = decodeObjects[slatebridge.Account](s, AccountObject)
	v.PlannedStops = decodeObjects[slatebridge.PlannedStop](s, PlannedStopObject)

	return v
}

// decodeObjects decodes the objects of a kind. The fold rejects records whose value
// cannot be decoded, so decoding does not fail here.
func decodeObjects[T any](s State, kind ObjectKind) []T {
	var list []T
	for _, o := range s.Objects() {
		if o.ID.Kind != kind {
			continue
		}
		if v, err := decodeStrict[T](o.Value); err == nil {
			list = append(list, v)
		}
	}

	return list
}
