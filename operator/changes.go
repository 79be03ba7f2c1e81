package operator

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/settings"
)

// DeclaredChanges returns the changes that set the declared objects, ordered so that no object
// refers to a later one.
func DeclaredChanges(d settings.Declarations) ([]Change, error) {
	var list []Change
	for _, t := range d.Template {
		list = append(list, putChange(config.TemplateObject, t.Name, t))
	}
	for _, a := range d.Account {
		list = append(list, putChange(config.AccountObject, a.Name, a))
	}
	for _, i := range d.Instance {
		list = append(list, putChange(config.InstanceObject, i.Account+"/"+i.Name, i))
	}
	seen := make(map[config.ObjectID]bool, len(list))
	for _, c := range list {
		if seen[c.ObjectID] {
			return nil, errors.Newf("operator: %s is declared twice", c.ObjectID)
		}
		seen[c.ObjectID] = true
	}

	return list, nil
}

// StopChange returns the change that announces the planned stop of a box or a backend server.
func StopChange(target string, at time.Time) Change {
	return putChange(config.PlannedStopObject, target, slatebridge.PlannedStop{Target: target, At: at})
}

// DeleteChange returns the change that deletes an object.
func DeleteChange(id config.ObjectID) Change {
	return Change{ObjectID: id}
}

// putChange returns the change that sets an object to v. It panics if v cannot be marshalled, which
// does not happen for the core types.
func putChange[T any](kind config.ObjectKind, name string, v T) Change {
	data, err := json.Marshal(v)
	if err != nil {
		panic("operator: " + err.Error())
	}

	return Change{ObjectID: config.ObjectID{Kind: kind, Name: name}, Value: data}
}
