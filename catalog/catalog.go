// Package catalog defines an immutable, indexed view of one configuration
// version: routes, services, client accounts and their API keys. A new config
// version is published as a new Catalog. It also defines the backend servers as
// read from their entries in the store.
//
// There are two configurations: slatebridge-box reads its configuration from the
// store (this package); slatebridge-gateway and slatebridge-controller use the one
// in the log (package slatebridge). Types of the same name in the two packages, such
// as Account and Service, are unrelated. Priorities run in opposite directions: here
// 0 is the most urgent, while in slatebridge.Instance a higher value is more urgent.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// CallKind determines whether a request that was already sent may be retried.
type CallKind int

// The kinds of calls.
const (
	// AtMostOnce marks calls that must not run more than once.
	AtMostOnce CallKind = iota
	// Idempotent marks calls that may run any number of times.
	Idempotent
	// Stream marks calls answered by a stream of numbered events.
	Stream
)

// String returns the name used in logs and metrics.
func (k CallKind) String() string {
	switch k {
	case AtMostOnce:
		return "once"
	case Idempotent:
		return "repeatable"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// WeightedService is one target of a route's traffic split.
type WeightedService struct {
	Service string
	// Weight is relative to the other weights in the traffic split.
	Weight int
}

// Route configures how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   CallKind
	// Timeout is the maximum time a request may stay in flight.
	Timeout time.Duration
	// LatencyObjective is the target latency of a response, or of the first
	// event for a stream.
	LatencyObjective time.Duration
	// MaxEventInterval is the longest acceptable pause between two events of a
	// stream; zero means unspecified.
	MaxEventInterval time.Duration
	// MaxServers is the maximum number of servers one request may run on. Attempts that no server
	// ran do not count. Of a pipeline (the path of a stream) only the first server counts, so the
	// length of the pipeline is not limited; a first server that is confirmed to have ended or to
	// be cut off does not count either.
	MaxServers int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// AllowAnonymous permits requests without an API key.
	AllowAnonymous bool
	// Resumable permits another server to continue an interrupted stream.
	Resumable    bool
	TrafficSplit []WeightedService
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Account is a client account with its API keys.
type Account struct {
	Name    string
	APIKeys []string
	// Priority decides before the route's priority if HasPriority is set; 0 is the most
	// urgent.
	Priority    int
	HasPriority bool
}

// Accelerator describes an accelerator type.
type Accelerator struct {
	Name string
	// MemoryMB is the memory shared by layers and requests, in MB.
	MemoryMB float64
	// StepTimeFactor multiplies the model's step time.
	StepTimeFactor float64
	// PrefillTimeFactor multiplies the model's prefill time.
	PrefillTimeFactor float64
}

// Model describes the model run by the servers of a service.
type Model struct {
	Name string
	// Layers is the total number of layers.
	Layers int
	// LayerMB is the size of one layer in MB.
	LayerMB float64
	// KVBytesPerToken is the KV cache size of one token, summed over all layers.
	KVBytesPerToken float64
	// StepTime is the duration of one decoding step through all layers at a
	// StepTimeFactor of 1.
	StepTime time.Duration
	// PrefillTokensPerSecond is the prefill throughput at a PrefillTimeFactor of 1.
	PrefillTokensPerSecond float64
	// LoadTime is the time to load all layers from an idle weight store.
	LoadTime time.Duration
	// ParallelLoads is the number of servers that can load layers concurrently
	// without slowing each other down; zero if unknown.
	ParallelLoads int
	// ActivationBytesPerToken is the size of the activations that a pipeline stage
	// sends to the next one per token; zero if unknown.
	ActivationBytesPerToken float64
	// InterHallBytesPerSecond is the bandwidth between two halls; zero if unknown.
	InterHallBytesPerSecond float64
	// Slots is the number of requests a server accepts concurrently.
	Slots int
	// MeanPromptTokens is the mean number of tokens in a prompt.
	MeanPromptTokens int
	// MeanOutputTokens is the mean number of tokens in a response.
	MeanOutputTokens int
	// Accelerators describes the accelerator types of the model's servers.
	Accelerators []Accelerator
}

// Accelerator returns the accelerator type with the given name.
func (m *Model) Accelerator(name string) (Accelerator, bool) {
	for _, a := range m.Accelerators {
		if a.Name == name {
			return a, true
		}
	}

	return Accelerator{}, false
}

// LimitsRoom reports whether the model states how many requests its servers take, in slots and in
// memory.
func (m *Model) LimitsRoom() bool { return m != nil && m.Slots > 0 && m.KVBytesPerToken > 0 }

// TokenLayerCapacity returns the KV cache capacity of an accelerator that holds
// loadedLayers layers, as the product of tokens and layers.
func (m *Model) TokenLayerCapacity(a Accelerator, loadedLayers int) float64 {
	freeMB := a.MemoryMB - float64(loadedLayers)*m.LayerMB
	if freeMB <= 0 || m.KVBytesPerToken <= 0 {
		return 0
	}
	const bytesPerMB = 1e6

	return freeMB * bytesPerMB * float64(m.Layers) / m.KVBytesPerToken
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnectionsPerServer is the total number of connections one server accepts.
	// It is decoded from the configuration, but no limit is derived from it.
	MaxConnectionsPerServer int
	// HealthPath is the URL path of a server's health check.
	HealthPath string
	// Model is set if the servers hold layers of a model.
	Model *Model
}

// Limits bounds the size and timing of callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	// Version is the config version. It increases with each change, not always by one.
	Version  int64
	Limits   Limits
	Services []Service
	// RequireAPIKey is set if the configuration has client accounts. Requests then
	// need an API key unless their route sets AllowAnonymous.
	RequireAPIKey bool

	byHost    map[string][]*Route
	byKey     map[string]*Account
	byService map[string]*Service
	// priorities has the priorities of the requests for each service, the most urgent first.
	priorities map[string][]priorityPair
	// classes is like priorities, of streams only. classesByAccount has the services whose classes
	// are the priorities of the accounts.
	classes          map[string][]priorityPair
	classesByAccount map[string]bool
}

// New returns a Catalog that indexes the given routes, services and accounts.
func New(version int64, limits Limits, routes []Route, services []Service, accounts []Account, requireAPIKey bool) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, Services: services, RequireAPIKey: requireAPIKey,
		byHost:    make(map[string][]*Route),
		byKey:     make(map[string]*Account),
		byService: make(map[string]*Service, len(services)), priorities: prioritiesByService(routes, accounts, requireAPIKey),
	}
	c.setClasses(routes, accounts)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, hostRoutes := range c.byHost {
		slices.SortFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range accounts {
		for _, key := range accounts[i].APIKeys {
			c.byKey[key] = &accounts[i]
		}
	}
	for i := range services {
		c.byService[services[i].Name] = &c.Services[i]
	}

	return c
}

// Route returns the host's route with the longest prefix that matches the path,
// or nil if none matches. Host names are case-insensitive.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}

	return nil
}

// Account returns the client account that owns the API key, or nil.
func (c *Catalog) Account(key string) *Account {
	return c.byKey[key]
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service {
	return c.byService[name]
}

// HasRoute reports whether a route to the service has the property.
func (c *Catalog) HasRoute(service string, has func(*Route) bool) bool {
	for _, routes := range c.byHost {
		for _, r := range routes {
			to := func(s WeightedService) bool { return s.Service == service }
			if slices.ContainsFunc(r.TrafficSplit, to) && has(r) {
				return true
			}
		}
	}

	return false
}

// ChooseService returns the service for a request. The fraction, from 0 to 1,
// selects a target in proportion to the weights of the traffic split.
func (r *Route) ChooseService(fraction float64) string {
	totalWeight := 0
	for _, s := range r.TrafficSplit {
		totalWeight += s.Weight
	}
	remaining := fraction * float64(totalWeight)
	for _, s := range r.TrafficSplit {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}

	return r.TrafficSplit[0].Service
}
