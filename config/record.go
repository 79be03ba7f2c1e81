// Package config computes the current configuration by folding the records of the
// configuration log, and publishes changes to that log.
//
// Conflicts are resolved by log order alone: every reader folds the same records in the
// same order with a pure function, so all readers agree on which changes were accepted.
// The fold is deterministic: it uses no clock, settings or map iteration order.
package config

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// StreamName is the name of the configuration stream in the platform's log.
const StreamName = "config"

// ObjectKind is the type of a configuration object.
type ObjectKind string

// The kinds of objects.
const (
	TemplateObject    ObjectKind = "template"
	InstanceObject    ObjectKind = "instance"
	AccountObject     ObjectKind = "account"
	PlannedStopObject ObjectKind = "stop"
)

// ObjectID identifies a configuration object.
type ObjectID struct {
	Kind ObjectKind `json:"kind"`
	// Name is unique within the kind. The name of a service instance has the form
	// "account/name".
	Name string `json:"name"`
}

// String returns the form "kind/name".
func (o ObjectID) String() string {
	return string(o.Kind) + "/" + o.Name
}

// ParseObjectID parses the form "kind/name".
func ParseObjectID(text string) (ObjectID, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || name == "" {
		return ObjectID{}, errors.Newf("config: object %q is not of the form kind/name", text)
	}

	return ObjectID{Kind: ObjectKind(kind), Name: name}, nil
}

// Action is the operation that a record applies to its object.
type Action string

// The actions of records.
const (
	Put    Action = "put"
	Delete Action = "delete"
)

// Revision identifies a change of an object: it is the offset of the record that made
// the change plus one. Absent objects have revision zero.
type Revision int64

// Record is a configuration change published by an operator.
type Record struct {
	// ID is unique. Records with the same ID are folded once within OutcomeWindow.
	ID     string   `json:"id"`
	Action Action   `json:"action"`
	Object ObjectID `json:"object"`
	// BaseRevision is the revision of the object on which the change is based. The
	// record is rejected if it is not the current one.
	BaseRevision Revision `json:"base"`
	// Author is the operator who published the change.
	Author string          `json:"by"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// decodeStrict decodes JSON into a T and rejects unknown fields.
func decodeStrict[T any](data []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(&v)

	return v, err
}
