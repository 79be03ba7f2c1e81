package faultmatrix

// Names of the steps of a call that must not run twice.
const (
	StepAppend   = "append"
	StepAppended = "appended"
	// StepApply is the step at which a record that was read is applied to the state. Its subtests
	// are named fold.
	StepApply = "fold"
	StepSend  = "send"
	StepRan   = "ran"
	StepAsk   = "ask"
)

// ClaimMatrix returns the matrix of calls that must not run twice. The caller sends the call to box
// A, and retries it at box B and then at box C. Faults of a box are injected at box A; faults of
// the log and PeerCut affect all boxes.
func ClaimMatrix() Matrix {
	return Matrix{
		Name: "claim",
		Test: "claim.TestFaultMatrix",
		Steps: []Step{
			{StepAppend, "box A is about to append its claim"},
			{StepAppended, "box A's claim is in the log, the log's answer has not arrived"},
			{StepApply, "box A has read its claim, and has not applied it to its state"},
			{StepSend, "box A's claim has won, the call has not reached the server"},
			{StepRan, "the server has run the call, its answer is not back"},
			{StepAsk, "box B asks box A what became of box A's claim"},
		},
		Faults: []Fault{
			{Kill, "the box stops for good"},
			{Pause, "the box is paused for 30 s and goes on"},
			{LogDown, "the log is out for 10 s"},
			{LogSlow, "for 10 s, each log operation is delayed by 3 s"},
			{AnswerLost, "the log's answers to appends are lost for 10 s"},
			{PeerCut, "boxes cannot reach each other for 10 s"},
			{Kill + "+" + LogDown, bothAtOnce},
			{Pause + "+" + LogDown, bothAtOnce},
			{Pause + "+" + PeerCut, bothAtOnce},
			{AnswerLost + "+" + PeerCut, bothAtOnce},
		},
		Excluded:  map[Cell]string{},
		PairCount: 20,
	}
}
