package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/internal/program"
)

// logProgram logs which program runs and the settings that it took. It is the first line of a log, so that
// no other line is ascribed to a program that did not write it.
func logProgram(logger *zap.Logger, cfg any) {
	event.Log(logger, event.Program, zap.Reflect("program", program.Current()), zap.Reflect("settings", cfg))
}

// programInfo returns a gauge that is always 1 and names the program in its labels.
func programInfo(id program.Identity) prometheus.Collector {
	g := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "slatebridge_program_info", Help: "1; the labels name the program that runs.",
		ConstLabels: prometheus.Labels{
			"name": id.Name, "version": id.Version, "digest": id.Digest, "architecture": id.Architecture, "toolchain": id.Toolchain, "revision": id.Revision,
		},
	})
	g.Set(1)

	return g
}
