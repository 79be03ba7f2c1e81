package faultmatrix

// Names of the steps of a streamed response.
const (
	StepOpen    = "open"
	StepPrefill = "prefill"
	StepToken   = "token"
	StepFinal   = "final"
)

// Names of the faults of a streamed response. The head is the first stage of the pipeline, and the
// tail the last one.
const (
	KillHead       = "kill-head"
	KillTail       = "kill-tail"
	FreezeHead     = "freeze-head"
	FreezeTail     = "freeze-tail"
	CutStages      = "cut-stages"
	CutGateway     = "cut-gateway"
	SlowTail       = "slow-tail"
	DoubleFrames   = "double-frames"
	LostFrame      = "lost-frame"
	OldFrames      = "old-frames"
	SkippedLayer   = "skipped-layer"
	CutFinal       = "cut-final"
	LeaveHead      = "leave-head"
	KillController = "kill-controller"
)

// StreamMatrix returns the matrix of streamed responses. Several responses run concurrently in two
// halls of four engines each. Faults are injected into one pipeline, into the log, or into the
// controller of the box to which the requests are sent.
func StreamMatrix() Matrix {
	return Matrix{
		Name: "stream",
		Test: "internal/system/stream.TestStreamMatrix",
		Steps: []Step{
			{StepOpen, "before the request is sent"},
			{StepPrefill, "before the first token is made"},
			{StepToken, "before the fifth token is made"},
			{StepFinal, "before the final frame"},
		},
		Faults: []Fault{
			{KillHead, "the first stage stops for good"},
			{KillTail, "the last stage stops for good"},
			{FreezeHead, "the first stage sends and receives nothing for 12 s; then its blocked traffic continues"},
			{FreezeTail, "the last stage sends and receives nothing for 12 s; then its blocked traffic continues"},
			{CutStages, "the two stages cannot reach each other"},
			{CutGateway, "the gateway cannot reach the first stage"},
			{SlowTail, "the last stage takes 100 ms longer for each token"},
			{DoubleFrames, "the first stage sends each frame twice"},
			{LostFrame, "the first stage leaves out a frame"},
			{OldFrames, "the first stage labels frames with the number of the previous attempt"},
			{SkippedLayer, "the first stage leaves out a layer"},
			{CutFinal, "the first stage breaks the connection in place of the final frame"},
			{LeaveHead, "the first stage says that it is leaving"},
			{KillController, "the controller of the box that serves the requests stops for good"},
			{LogDown, "the log is out for 10 s"},
			{KillHead + "+" + KillTail, bothAtOnce},
			{FreezeHead + "+" + KillTail, bothAtOnce},
			{KillTail + "+" + KillController, bothAtOnce},
			{FreezeTail + "+" + LogDown, bothAtOnce},
		},
		Excluded:  map[Cell]string{},
		PairCount: 16,
	}
}
