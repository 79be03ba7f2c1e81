package slatebridge

import "time"

// ServiceKind is how a service is implemented.
type ServiceKind string

// The kinds of services.
const (
	// ModelService is served by a pipeline of backend servers with layer ranges.
	ModelService ServiceKind = "model"
	// PlainService is a service without a model; one server answers each call.
	PlainService ServiceKind = "plain"
)

// Deduplication says whether the calls of a service may run twice and, if not, who prevents it.
type Deduplication string

// The deduplication modes.
const (
	// Idempotent means that calls are repeatable: they may run more than once.
	Idempotent Deduplication = "repeatable"
	// DeduplicatedByService means that calls must not run twice, and that the servers of the
	// service do not run a second call with the same Idempotency-Key, even if the two calls reach
	// different servers.
	DeduplicatedByService Deduplication = "checked-by-service"
	// DeduplicatedByRouter means that calls must not run twice, but the servers do not check
	// this, so the gateway (the router) claims each call: before it sends the call, it records in
	// the platform's log service that it runs the call.
	DeduplicatedByRouter Deduplication = "checked-by-router"
)

// ModelVersion identifies a version of a model.
type ModelVersion struct {
	Model   string `json:"model" toml:"model"`
	Version string `json:"version" toml:"version"`
}

// String returns the version as "model@version".
func (m ModelVersion) String() string {
	return m.Model + "@" + m.Version
}

// Template holds what several services have in common.
type Template struct {
	Name          string        `json:"name" toml:"name"`
	Kind          ServiceKind   `json:"kind" toml:"kind"`
	Deduplication Deduplication `json:"duplicates" toml:"duplicates"`
	// Layers is the number of layers of the model; model services only.
	Layers int `json:"layers,omitempty" toml:"layers"`
	// Timeout bounds the duration of a request.
	Timeout Duration `json:"timeout" toml:"timeout"`
}

// Instance describes a service of one client account that is based on a template.
type Instance struct {
	// Name is the service name that callers use. It is unique within the account.
	Name     string       `json:"name" toml:"name"`
	Account  string       `json:"account" toml:"account"`
	Template string       `json:"template" toml:"template"`
	Language string       `json:"language,omitempty" toml:"language"`
	Model    ModelVersion `json:"model,omitzero" toml:"model"`
	Adapter  string       `json:"adapter,omitempty" toml:"adapter"`
	// Priority is from 0 to 9, higher for more urgent work.
	Priority int `json:"priority,omitempty" toml:"priority"`
	// Weight is the relative share of the accelerators that the instance gets.
	Weight float64 `json:"weight,omitempty" toml:"weight"`
}

// Account holds the limits of a client account, which apply in each hall separately.
type Account struct {
	Name string `json:"name" toml:"name"`
	// RequestsPerSecond is the rate limit of the account in one hall.
	RequestsPerSecond float64 `json:"requests_per_second" toml:"requests_per_second"`
	// MaxConcurrency bounds the in-flight requests of the account in one hall.
	MaxConcurrency int `json:"concurrency" toml:"concurrency"`
}

// PlannedStop announces the planned stop of a box or a backend server. The target counts as leaving
// from the announcement on.
type PlannedStop struct {
	// Target is the ID of the box or the backend server.
	Target string `json:"target" toml:"target"`
	// At is the planned time of the stop, for information only: nothing happens at it by itself.
	At time.Time `json:"at" toml:"at"`
}

// Duration is a time.Duration that is encoded as text, such as "30s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)

	return nil
}
