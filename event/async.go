package event

import (
	"io"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines that wait to be written. A line has about 500 bytes, so a
	// full queue takes 1 MB.
	maxQueuedLines = 2048
	// successLinesPerSecond and successLineBurst limit the lines of events that report success: the
	// rate, and the number of lines at once. A box is expected to answer 10 requests a second.
	successLinesPerSecond = 60
	successLineBurst      = 200
	// otherLinesPerSecond and otherLineBurst limit all other lines, which take precedence over
	// those of successes.
	otherLinesPerSecond = 300
	otherLineBurst      = 1500
	// controlLinesPerSecond and controlLineBurst are how many lines of control events are written
	// whatever else is logged, and reservedLines the places of the queue that are kept for them.
	controlLinesPerSecond = 50
	controlLineBurst      = 300
	reservedLines         = 256
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// AsyncWriter writes log lines without blocking the caller. Lines above the rate limits, and lines
// for which the queue has no room, are dropped and counted by event; lines of events that report
// success are dropped first, and those of control events last.
type AsyncWriter struct {
	queue   chan []byte
	done    chan struct{}
	success *rate.Limiter
	other   *rate.Limiter
	control *rate.Limiter

	mu      sync.Mutex
	dropped map[string]int
	closed  bool
}

// NewAsyncWriter returns an AsyncWriter that writes to out from its own goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}), dropped: make(map[string]int),
		success: rate.NewLimiter(successLinesPerSecond, successLineBurst), other: rate.NewLimiter(otherLinesPerSecond, otherLineBurst),
		control: rate.NewLimiter(controlLinesPerSecond, controlLineBurst),
	}
	go func() {
		defer close(w.done)
		for line := range w.queue {
			// The log itself is failing, so the error cannot be logged.
			_, _ = out.Write(line)
		}
	}()

	return w
}

// Logger returns a logger that writes JSON lines of the given level and above.
func (w *AsyncWriter) Logger(level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder

	return zap.New(&asyncCore{LevelEnabler: level, enc: zapcore.NewJSONEncoder(cfg), out: w})
}

// ReportDropped logs how many lines were dropped since the last report, if any.
func (w *AsyncWriter) ReportDropped(l *zap.Logger) {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = make(map[string]int)
	w.mu.Unlock()
	if len(dropped) > 0 {
		Log(l, LinesDropped, zap.Any("lines", maps.Clone(dropped)))
	}
}

// RunReports calls ReportDropped at regular intervals until done is closed.
func (w *AsyncWriter) RunReports(done <-chan struct{}, l *zap.Logger) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			w.ReportDropped(l)
		}
	}
}

// Close writes the queued lines, and waits up to timeout until they are written. Lines logged after
// Close are dropped.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// enqueue queues a line, or drops and counts it.
func (w *AsyncWriter) enqueue(e loggedEvent, line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admits(e) {
		w.dropped[e.name]++

		return
	}
	w.queue <- line
}

// admits reports whether there is room for a line of the event. Lines of events that report success may
// fill only half of the queue, and only those of control events may fill all of it.
func (w *AsyncWriter) admits(e loggedEvent) bool {
	queued := len(w.queue)
	switch {
	case e.control && queued < cap(w.queue) && w.control.Allow():
		return true
	case e.success:
		return queued < cap(w.queue)/2 && w.success.Allow()
	default:
		return queued < cap(w.queue)-reservedLines && w.other.Allow()
	}
}

// asyncCore is a zapcore.Core that encodes log entries and passes them to an AsyncWriter.
type asyncCore struct {
	zapcore.LevelEnabler
	enc zapcore.Encoder
	out *AsyncWriter
}

// With returns a core that adds the fields to each line.
func (c *asyncCore) With(fields []zapcore.Field) zapcore.Core {
	enc := c.enc.Clone()
	for _, f := range fields {
		f.AddTo(enc)
	}

	return &asyncCore{LevelEnabler: c.LevelEnabler, enc: enc, out: c.out}
}

// Check adds the core to the checked entry if the level is enabled.
func (c *asyncCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}

	return ce
}

// Write encodes and queues the line.
func (c *asyncCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	logged := eventsByID[idsByName[e.Message]]
	logged.name = e.Message
	c.out.enqueue(logged, append([]byte(nil), buf.Bytes()...))
	buf.Free()

	return nil
}

// Sync does nothing, because the goroutine of the AsyncWriter writes the lines.
func (c *asyncCore) Sync() error { return nil }
