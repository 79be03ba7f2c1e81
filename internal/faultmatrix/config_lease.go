package faultmatrix

// Names of the steps of a configuration change and of a lease.
const (
	// Steps of a configuration change.
	StepPublish = "publish"
	StepInLog   = "in-log"
	StepInForce = "in-force"
	// Steps of a lease.
	StepRenewal = "renewal"
	StepClaim   = "claim"
	StepHeld    = "held"
	// StepClaimAppended is the step after the append of a claim, before its box reads it. Its
	// subtests are named takeover.
	StepClaimAppended = "takeover"
)

// Names of the faults of the log and its writers, of controllers and of the links between them.
const (
	FreezeController  = "freeze-controller"
	RestartController = "restart-controller"
	CutHallLog        = "cut-hall-from-log"
	CutHallAll        = "cut-hall-from-all"
	CutOthersLog      = "cut-others-from-log"
	DropRecords       = "drop-records"
	StaleSnapshot     = "stale-snapshot"
	RacingOperator    = "racing-operator"
)

// ConfigMatrix returns the matrix of configuration changes, in two halls of two boxes each. Faults
// of controllers are injected at the first box, and the cuts are of the hall of that box;
// CutOthersLog cuts the other hall. The remaining faults are those of the log, and records that
// other writers append to it.
func ConfigMatrix() Matrix {
	return Matrix{
		Name: "config",
		Test: "internal/system/config.TestConfigMatrix",
		Steps: []Step{
			{StepPublish, "before a change is published"},
			{StepInLog, "when the change is in the log, and before boxes have read it"},
			{StepInForce, "when the change is in force on every box"},
		},
		Faults: []Fault{
			{LogDown, "the log is out for 10 s"},
			{LogSlow, "for 10 s, each log operation is delayed by 1 s"},
			{AnswerLost, "the log's answers to appends are lost for 10 s"},
			{KillController, "the first box's controller stops for good"},
			{FreezeController, "the first box's controller sends and receives nothing for 12 s; then its blocked traffic continues"},
			{RestartController, "the first box's controller restarts"},
			{CutHallLog, "the first hall cannot reach the log for 12 s, but can reach its peers"},
			{CutHallAll, "for 12 s, the first hall can reach neither the log nor the member list nor the other hall's controllers"},
			{CutOthersLog, "the other hall cannot reach the log for 12 s"},
			{DropRecords, "the log keeps only its newest record"},
			{StaleSnapshot, "a paused writer adds an old snapshot of the configuration to the log"},
			{RacingOperator, "another operator changes the same object"},
			{RestartController + "+" + LogDown, bothAtOnce},
			{RestartController + "+" + DropRecords, bothAtOnce},
			{KillController + "+" + CutHallLog, bothAtOnce},
			{FreezeController + "+" + AnswerLost, bothAtOnce},
		},
		Excluded:  map[Cell]string{},
		PairCount: 12,
	}
}

// LeaseMatrix returns the matrix of leases, with three boxes in one hall. Faults of a box are
// injected at the lease holder, or at the box that is claiming the lease; faults of the log affect
// all boxes.
func LeaseMatrix() Matrix {
	return Matrix{
		Name: "lease",
		Test: "lease.TestFaultMatrix",
		Steps: []Step{
			{StepClaim, "a box is about to append its claim"},
			{StepClaimAppended, "a box's claim is in the log, and the box has not read it yet"},
			{StepHeld, "a box has read that it holds the lease"},
			{StepRenewal, "the holder is about to append a renewal"},
		},
		Faults: []Fault{
			{Kill, "the box stops for good"},
			{Pause, "the box is paused for 30 s and goes on"},
			{LogDown, "the log is out for 10 s"},
			{LogSlow, "for 10 s, each log operation is delayed by 3 s"},
			{AnswerLost, "the log's answers to appends are lost for 10 s"},
			{Kill + "+" + LogDown, bothAtOnce},
			{Pause + "+" + LogDown, bothAtOnce},
			{Pause + "+" + LogSlow, bothAtOnce},
			{Pause + "+" + AnswerLost, bothAtOnce},
		},
		Excluded:  map[Cell]string{},
		PairCount: 12,
	}
}
