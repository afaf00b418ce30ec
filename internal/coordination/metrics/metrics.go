// Package metrics shows a process's own counts at /metrics, for whoever scrapes
// them.
package metrics

import (
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Sample is one value.
type Sample struct {
	Name, Help        string
	Label, LabelValue string // a label and its value, if any
	Value             float64
	Counter           bool // only ever grows
}

type rows func() []Sample

// Describe says nothing beforehand: which rows there are changes.
func (rows) Describe(chan<- *prometheus.Desc) {}

// Collect hands out the rows as they are now.
func (f rows) Collect(ch chan<- prometheus.Metric) {
	for _, r := range f() {
		var names, vals []string
		if r.Label != "" {
			names, vals = []string{r.Label}, []string{r.LabelValue}
		}
		kind := prometheus.GaugeValue
		if r.Counter {
			kind = prometheus.CounterValue
		}
		description := prometheus.NewDesc("dt_"+r.Name, r.Help, names, nil)
		ch <- prometheus.MustNewConstMetric(description, kind, r.Value, vals...)
	}
}

// Routes puts /metrics on e.
func Routes(e *echo.Echo, now func() []Sample) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(rows(now))
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(reg, promhttp.HandlerOpts{})))
}

// NodeSamples is what every process has.
func NodeSamples(spec uint64, sent uint64) []Sample {
	return []Sample{
		{Name: "spec_version", Help: "Version of the spec in force here.", Value: float64(spec)},
		{Name: "messages_sent_total", Help: "Messages sent to other processes.", Value: float64(sent), Counter: true},
	}
}
