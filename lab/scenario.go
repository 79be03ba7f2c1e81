package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/place"
)

// Duration is a duration in a scenario file, such as "600ms".
type Duration time.Duration

// UnmarshalText parses the duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)

	return err
}

// Scenario is a load and the faults that occur during it.
type Scenario struct {
	// BaseFile names a file in the same directory that provides the keys missing here.
	BaseFile string `toml:"base"`
	Name     string `toml:"name"`
	// Purpose says which decisions the scenario exercises.
	Purpose string `toml:"why"`
	Seed    uint64 `toml:"seed"`
	// ArrivalWindow is how long new requests arrive.
	ArrivalWindow Duration `toml:"length"`
	// GossipInterval is the time between two gossip exchanges of the boxes.
	GossipInterval Duration `toml:"news"`
	BoxesPerHall   int      `toml:"boxes"`
	Model          Model    `toml:"model"`
	// Accelerators are the [[card]] tables: the accelerator types that ServerGroups name.
	Accelerators []Accelerator `toml:"card"`
	ServerGroups []ServerGroup `toml:"servers"`
	// RequestClasses are the [[kind]] tables.
	RequestClasses []RequestClass `toml:"kind"`
	RetryBudget    RetryBudget    `toml:"budget"`
	// DisableQuarantine makes boxes send poison requests like all others, as a baseline.
	DisableQuarantine bool `toml:"no_quarantine"`
	// IgnoreServerNotices makes boxes ignore the cooldown, leaving and rate-limit notices of
	// servers, as a baseline.
	IgnoreServerNotices bool `toml:"deaf"`
	// Prioritized gives the classes the priorities of their ranks. Without it, the rank of a class
	// changes no decision.
	Prioritized bool `toml:"priorities"`
	// UnplannedReturns makes boxes tell refused callers to return after about the duration of a
	// stream, as a baseline.
	UnplannedReturns bool `toml:"unplanned_returns"`
	// Faults are the [[trouble]] tables, in any order.
	Faults []Fault `toml:"trouble"`
}

// Model describes the model of the scenario's service; its fields match those of catalog.Model.
type Model struct {
	Layers                  int      `toml:"layers"`
	LayerMB                 float64  `toml:"layer_mb"`
	KVBytesPerToken         float64  `toml:"token_bytes"`
	StepTime                Duration `toml:"step"`
	PrefillTokensPerSecond  float64  `toml:"read_per_second"`
	LoadTime                Duration `toml:"load"`
	Slots                   int      `toml:"slots"`
	ActivationBytesPerToken float64  `toml:"hop_bytes"`
	InterHallBytesPerSecond float64  `toml:"hall_bytes_per_second"`
}

// Accelerator is a type of accelerator; its fields match those of catalog.Accelerator.
type Accelerator struct {
	Name     string  `toml:"name"`
	MemoryMB float64 `toml:"memory_mb"`
	// StepTimeFactor and PrefillTimeFactor multiply the step time and the prefill time of the
	// model. Simulated servers treat values below 1 as 1.
	StepTimeFactor    float64 `toml:"pace"`
	PrefillTimeFactor float64 `toml:"read_pace"`
}

// ServerGroup is a number of identical servers in a hall.
type ServerGroup struct {
	Hall string `toml:"hall"`
	// Accelerator is the name of one of the scenario's Accelerators.
	Accelerator string `toml:"card"`
	Count       int    `toml:"count"`
}

// RequestClass is a class of requests with common sizes, objectives and priority.
type RequestClass struct {
	Name string `toml:"name"`
	// ArrivalRate is the number of new requests per second in each hall.
	ArrivalRate float64 `toml:"per_second"`
	// MeanPromptTokens and MeanAnswerTokens are the means of exponential distributions that are cut
	// off at three times the mean.
	MeanPromptTokens float64 `toml:"prompt"`
	MeanAnswerTokens float64 `toml:"answer"`
	// FirstTokenObjective is the latency objective for the first token.
	FirstTokenObjective Duration `toml:"objective"`
	// TokenGapObjective is the objective for each gap between two tokens; zero means none.
	TokenGapObjective Duration `toml:"pause"`
	// Deadline limits the whole request, with all retries of its caller.
	Deadline Duration `toml:"deadline"`
	// MaxRetries is how often a caller retries a refused request.
	MaxRetries int `toml:"retries"`
	// PriorityRank orders the classes; 0 is the most urgent.
	PriorityRank int `toml:"rank"`
}

// RetryBudget limits the retries of boxes; its fields match those of retry.Bounds.
type RetryBudget struct {
	// Within Window, the boxes may send Ratio retries for each request, and Extra more.
	Ratio  float64  `toml:"share"`
	Extra  float64  `toml:"extra"`
	Window Duration `toml:"window"`
}

// Fault types. Their values are those of the key "what" in a [[trouble]] table.
const (
	// FaultLoadBurst multiplies the arrival rate of a class, or of all classes, by Magnitude.
	FaultLoadBurst = "burst"
	// FaultServerLoss removes servers without notice; they return without layers after Duration.
	FaultServerLoss = "lose"
	// FaultServerDrain is FaultServerLoss after two seconds in which the servers announce that they
	// are leaving, so they return two seconds after the end of the fault. The server list shows
	// the announcement with a delay of Magnitude seconds, or never if that exceeds the two seconds.
	FaultServerDrain = "drain"
	// FaultServerCooldown makes servers reject all requests for which they are the first server,
	// and ask for a cooldown of Magnitude seconds.
	FaultServerCooldown = "rest"
	// FaultServerRateLimit makes servers that hold the first layer announce a limit of Magnitude
	// requests per second.
	FaultServerRateLimit = "limit"
	// FaultSlowServers multiplies the time that servers take by Magnitude.
	FaultSlowServers = "slow"
	// FaultSlowLinks multiplies the duration of transfers between halls by Magnitude.
	FaultSlowLinks = "links"
	// FaultHallPartition cuts a hall off from the others.
	FaultHallPartition = "cut"
	// FaultBoxRestart stops all boxes, and starts them again when the fault ends.
	FaultBoxRestart = "restart"
	// FaultImmediateRetries makes a Fraction of the callers retry without delay, with Magnitude
	// additional retries.
	FaultImmediateRetries = "impatient"
	// FaultMemoryPressure makes a Fraction of the KV cache memory of all servers unavailable.
	FaultMemoryPressure = "fill"
	// FaultPoisonRequests adds Magnitude requests that are sent repeatedly, each of which crashes
	// the servers that start to run it.
	FaultPoisonRequests = "fatal"
	// FaultBoxSuspension suspends a Fraction of the boxes.
	FaultBoxSuspension = "suspend"
)

var faultTypes = []string{FaultLoadBurst, FaultServerLoss, FaultServerDrain, FaultSlowServers, FaultSlowLinks, FaultHallPartition, FaultBoxRestart, FaultImmediateRetries, FaultMemoryPressure, FaultPoisonRequests, FaultBoxSuspension, FaultServerCooldown, FaultServerRateLimit}

// Fault is a fault of one of the fault types.
type Fault struct {
	Type     string   `toml:"what"`
	Start    Duration `toml:"at"`
	Duration Duration `toml:"for"`
	// RequestClass restricts a load burst to one class, and is the class of poison requests; empty
	// means all for a load burst, and the first class for poison requests. Hall restricts a load
	// burst, or a loss, drain, cooldown, rate limit or slowdown of servers, to one hall (empty
	// means all), and is the hall that a partition cuts off. Other faults ignore both.
	RequestClass string `toml:"kind"`
	Hall         string `toml:"hall"`
	// Fraction and Magnitude are explained at the fault types. A loss, drain, cooldown, rate limit
	// or slowdown of servers affects a Fraction of the servers in Hall.
	Fraction  float64 `toml:"share"`
	Magnitude float64 `toml:"factor"`
}

// activeAt reports whether the fault is active at the given time.
func (f *Fault) activeAt(at time.Duration) bool {
	return at >= time.Duration(f.Start) && at < time.Duration(f.Start+f.Duration)
}

// LoadScenario reads and validates a scenario from a TOML file.
func LoadScenario(file string) (*Scenario, error) {
	var sc Scenario
	if err := decodeFile(file, &sc); err != nil {
		return nil, err
	}
	if sc.BaseFile != "" {
		base := Scenario{}
		if err := decodeFile(filepath.Join(filepath.Dir(file), sc.BaseFile), &base); err != nil {
			return nil, err
		}
		if err := decodeFile(file, &base); err != nil {
			return nil, err
		}
		sc = base
	}
	if err := sc.validate(); err != nil {
		return nil, errors.Wrapf(err, "lab: scenario %s", file)
	}

	return &sc, nil
}

// decodeFile decodes a file into sc; keys that the file lacks keep their values.
func decodeFile(file string, sc *Scenario) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "lab: read scenario")
	}
	err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(sc)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.Newf("lab: scenario %s: unknown keys:\n%s", file, strict.String())
	}

	return errors.Wrapf(err, "lab: scenario %s", file)
}

// validate returns the first error in the scenario.
func (sc *Scenario) validate() error {
	switch {
	case sc.ArrivalWindow <= 0 || sc.GossipInterval <= 0:
		return errors.New("length and news must be greater than zero")
	case sc.BoxesPerHall <= 0:
		return errors.New("boxes must be greater than zero")
	case len(sc.RequestClasses) == 0 || len(sc.ServerGroups) == 0:
		return errors.New("at least one [[kind]] and one [[servers]] table are required")
	case sc.RetryBudget.Window <= 0:
		return errors.New("budget: window must be greater than zero")
	}
	if err := sc.Model.validate(); err != nil {
		return err
	}
	for _, g := range sc.ServerGroups {
		if !slices.ContainsFunc(sc.Accelerators, func(a Accelerator) bool { return a.Name == g.Accelerator }) {
			return errors.Newf("servers: there is no card %q among the [[card]] tables", g.Accelerator)
		}
	}
	for _, k := range sc.RequestClasses {
		if min(k.ArrivalRate, k.MeanAnswerTokens, float64(k.FirstTokenObjective), float64(k.Deadline)) <= 0 {
			return errors.Newf("kind %q: per_second, answer, objective and deadline must be greater than zero", k.Name)
		}
	}
	for _, f := range sc.Faults {
		if !slices.Contains(faultTypes, f.Type) {
			return errors.Newf("trouble: what must be one of %v, not %q", faultTypes, f.Type)
		}
	}

	return nil
}

func (m Model) validate() error {
	if min(float64(m.Layers), m.LayerMB, m.KVBytesPerToken, float64(m.StepTime), m.PrefillTokensPerSecond) <= 0 {
		return errors.New("model: layers, layer_mb, token_bytes, step and read_per_second must be greater than zero")
	}

	return nil
}

// service is the name of the scenario's only service.
const service = "model"

// halls returns the sorted names of the halls.
func (sc *Scenario) halls() []slatebridge.HallID {
	var halls []slatebridge.HallID
	for _, g := range sc.ServerGroups {
		if id := slatebridge.HallID(g.Hall); !slices.Contains(halls, id) {
			halls = append(halls, id)
		}
	}
	slices.Sort(halls)

	return halls
}

// model returns the scenario's model as a catalog entry.
func (sc *Scenario) model() *catalog.Model {
	prompt, answer, rate := 0.0, 0.0, 0.0
	for _, k := range sc.RequestClasses {
		prompt += k.MeanPromptTokens * k.ArrivalRate
		answer += k.MeanAnswerTokens * k.ArrivalRate
		rate += k.ArrivalRate
	}
	m := &catalog.Model{
		Name: service, Layers: sc.Model.Layers, LayerMB: sc.Model.LayerMB, KVBytesPerToken: sc.Model.KVBytesPerToken,
		StepTime: time.Duration(sc.Model.StepTime), PrefillTokensPerSecond: sc.Model.PrefillTokensPerSecond, LoadTime: time.Duration(sc.Model.LoadTime),
		Slots: sc.Model.Slots, ActivationBytesPerToken: sc.Model.ActivationBytesPerToken, InterHallBytesPerSecond: sc.Model.InterHallBytesPerSecond,
		MeanPromptTokens: int(prompt / rate), MeanOutputTokens: int(answer / rate),
	}
	for _, a := range sc.Accelerators {
		m.Accelerators = append(m.Accelerators, catalog.Accelerator{Name: a.Name, MemoryMB: a.MemoryMB, StepTimeFactor: a.StepTimeFactor, PrefillTimeFactor: a.PrefillTimeFactor})
	}

	return m
}

// routes returns a route for each class if the scenario is Prioritized.
func (sc *Scenario) routes() []catalog.Route {
	if !sc.Prioritized {
		return nil
	}
	var routes []catalog.Route
	for _, k := range sc.RequestClasses {
		routes = append(routes, catalog.Route{
			Name: k.Name, Kind: catalog.Stream, Priority: k.PriorityRank, TrafficSplit: []catalog.WeightedService{{Service: service, Weight: 1}},
		})
	}

	return routes
}

// initialPlacement returns the servers with the layers that they are assigned at the start.
func (sc *Scenario) initialPlacement(m *catalog.Model) []place.Server {
	var servers []place.Server
	for _, g := range sc.ServerGroups {
		for range g.Count {
			servers = append(servers, place.Server{ID: serverID(len(servers)), Hall: slatebridge.HallID(g.Hall), Accelerator: g.Accelerator})
		}
	}
	assigned := make(map[slatebridge.ServerID]slatebridge.LayerRange)
	for _, server := range place.AssignEmpty(m, servers) {
		assigned[server.ID] = server.Layers
	}
	for i := range servers {
		servers[i].Layers = assigned[servers[i].ID]
	}

	return servers
}
