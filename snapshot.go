package slatebridge

// Revision orders the routing snapshots that gateways receive.
type Revision struct {
	// AppliedOffset is the offset of the first record of the configuration log that was not applied
	// yet. A gateway accepts no snapshot with a lower AppliedOffset than that of its current one,
	// whichever controller it comes from.
	AppliedOffset int64 `json:"applied"`
	// ControllerID identifies the box and the incarnation of the controller that created the
	// snapshot.
	ControllerID string `json:"controller"`
	// Sequence counts the snapshots of that incarnation of the controller.
	Sequence int64 `json:"sequence"`
}

// Supersedes reports whether a snapshot of revision r may replace one of revision old. Snapshots of
// different controllers with the same AppliedOffset may replace each other.
func (r Revision) Supersedes(old Revision) bool {
	if r.AppliedOffset != old.AppliedOffset {
		return r.AppliedOffset > old.AppliedOffset
	}
	if r.ControllerID != old.ControllerID {
		return true
	}

	return r.Sequence > old.Sequence
}

// Service is an instance together with its template: what the callers of one client account use.
type Service struct {
	Instance Instance `json:"instance"`
	Template Template `json:"template"`
}

// LoadedRange is a layer range that an engine reported as loaded.
type LoadedRange struct {
	Server ServerID     `json:"server"`
	Model  ModelVersion `json:"model"`
	Layers LayerRange   `json:"layers"`
	// ActiveStreams is the number of active streams in the engine's last report.
	ActiveStreams int `json:"load"`
	// Adapters are the names of the loaded adapters.
	Adapters []string `json:"adapters,omitempty"`
}

// HasAdapter reports whether the adapter is loaded. It returns true for the empty name.
func (l LoadedRange) HasAdapter(name string) bool {
	if name == "" {
		return true
	}
	for _, a := range l.Adapters {
		if a == name {
			return true
		}
	}

	return false
}

// Snapshot is the routing snapshot: all state that a gateway needs for its routing decisions.
type Snapshot struct {
	Revision     Revision        `json:"revision"`
	Services     []Service       `json:"services"`
	Accounts     []Account       `json:"accounts"`
	Boxes        []Box           `json:"boxes"`
	Servers      []BackendServer `json:"servers"`
	LoadedRanges []LoadedRange   `json:"loaded"`
}

// WithRevision returns a copy of the snapshot with the given revision.
func (s Snapshot) WithRevision(r Revision) Snapshot {
	s.Revision = r

	return s
}

// Service returns the service of the account with the given name.
func (s *Snapshot) Service(account, name string) (Service, bool) {
	for _, v := range s.Services {
		if v.Instance.Account == account && v.Instance.Name == name {
			return v, true
		}
	}

	return Service{}, false
}

// Account returns the client account with the given name.
func (s *Snapshot) Account(name string) (Account, bool) {
	for _, a := range s.Accounts {
		if a.Name == name {
			return a, true
		}
	}

	return Account{}, false
}

// Server returns the backend server with the given ID.
func (s *Snapshot) Server(id ServerID) (BackendServer, bool) {
	for _, v := range s.Servers {
		if v.ID == id {
			return v, true
		}
	}

	return BackendServer{}, false
}

// Box returns the box with the given ID.
func (s *Snapshot) Box(id BoxID) (Box, bool) {
	for _, b := range s.Boxes {
		if b.ID == id {
			return b, true
		}
	}

	return Box{}, false
}

// LiveBoxCount returns the number of boxes in the hall that accept new work.
func (s *Snapshot) LiveBoxCount(hall HallID) int {
	n := 0
	for _, b := range s.Boxes {
		if b.Hall == hall && b.State == Live {
			n++
		}
	}

	return n
}
