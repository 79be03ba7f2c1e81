package member

import (
	"maps"
	"slices"
	"strings"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/logstore"
)

// ProbeResult is what this controller knows of a server from probing it.
type ProbeResult struct {
	Health Health
	// Report is the last state that the engine reported.
	Report engine.State
}

// View combines all knowledge of boxes and servers. It is immutable.
type View struct {
	membership logstore.Membership
	// unlisted holds servers that are missing from the list but still respond.
	unlisted     map[slatebridge.ServerID]slatebridge.BackendServer
	plannedStops map[string]bool
	probeResults ProbeResults
}

// WithMembership returns the view after a reading of the membership list.
func (v View) WithMembership(m logstore.Membership) View {
	unlisted := make(map[slatebridge.ServerID]slatebridge.BackendServer)
	for _, s := range v.knownServers() {
		unlisted[s.ID] = s
	}
	for _, s := range m.Servers {
		delete(unlisted, s.ID)
	}
	maps.DeleteFunc(unlisted, func(id slatebridge.ServerID, _ slatebridge.BackendServer) bool {
		return !v.probeResults[id].Health.Up()
	})
	v.membership = m
	v.unlisted = unlisted

	return v
}

// WithPlannedStops returns the view with these planned stops in place of the previous ones.
func (v View) WithPlannedStops(stops []slatebridge.PlannedStop) View {
	v.plannedStops = make(map[string]bool, len(stops))
	for _, s := range stops {
		v.plannedStops[s.Target] = true
	}

	return v
}

// ProbeResults maps each probed server to its result.
type ProbeResults map[slatebridge.ServerID]ProbeResult

// WithProbeResults returns the view after a round of probes. Servers that were not probed keep
// their previous result.
func (v View) WithProbeResults(latest ProbeResults) View {
	merged := make(ProbeResults, len(latest))
	maps.Copy(merged, v.probeResults)
	maps.Copy(merged, latest)
	v.probeResults = merged

	return v
}

// ProbeResult returns the result of the last probe of a server.
func (v View) ProbeResult(id slatebridge.ServerID) ProbeResult {
	return v.probeResults[id]
}

// knownServers returns the listed and the unlisted servers, sorted by ID.
func (v View) knownServers() []slatebridge.BackendServer {
	list := slices.Concat(v.membership.Servers, slices.Collect(maps.Values(v.unlisted)))
	slices.SortFunc(list, func(a, b slatebridge.BackendServer) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})

	return list
}

// Servers returns the servers that respond, sorted by ID, each in the state that results from all
// sources.
func (v View) Servers() []slatebridge.BackendServer {
	var list []slatebridge.BackendServer
	for _, s := range v.knownServers() {
		result := v.probeResults[s.ID]
		if !result.Health.Up() {
			continue
		}
		if v.plannedStops[string(s.ID)] || result.Report.Leaving {
			s = s.WithState(slatebridge.Leaving)
		}
		list = append(list, s)
	}

	return list
}

// ProbeTargets returns every known server, whether it responds or not.
func (v View) ProbeTargets() []slatebridge.BackendServer {
	return v.knownServers()
}

// Boxes returns the listed boxes; those with a planned stop are leaving.
func (v View) Boxes() []slatebridge.Box {
	list := slices.Clone(v.membership.Boxes)
	for i := range list {
		if v.plannedStops[string(list[i].ID)] {
			list[i].State = slatebridge.Leaving
		}
	}

	return list
}

// LoadedRanges returns the layer ranges loaded by the engines that respond.
func (v View) LoadedRanges() []slatebridge.LoadedRange {
	var list []slatebridge.LoadedRange
	for _, s := range v.Servers() {
		r := v.probeResults[s.ID].Report
		if s.Kind != slatebridge.EngineServer || r.Layers.Len() == 0 {
			continue
		}
		list = append(list, slatebridge.LoadedRange{
			Server:        s.ID,
			Model:         r.Model,
			Layers:        r.Layers,
			ActiveStreams: r.Streams,
			Adapters:      r.Adapters,
		})
	}

	return list
}
