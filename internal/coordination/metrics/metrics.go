// Package metrics serves a process's own metrics at /metrics in the Prometheus format.
package metrics

import (
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"damsontiller/internal/proto/register"
)

// Sample is the present value of one metric.
type Sample struct {
	Name, Help        string
	Label, LabelValue string // Label is empty for a metric without a label
	Value             float64
	Counter           bool // the metric is a counter, otherwise a gauge
}

// collector is a prometheus.Collector for the samples that the function returns.
type collector func() []Sample

// Describe sends no descriptions, since the set of metrics varies between collections.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current samples.
func (f collector) Collect(metrics chan<- prometheus.Metric) {
	for _, sample := range f() {
		var labels, labelValues []string
		if sample.Label != "" {
			labels, labelValues = []string{sample.Label}, []string{sample.LabelValue}
		}
		valueType := prometheus.GaugeValue
		if sample.Counter {
			valueType = prometheus.CounterValue
		}
		description := prometheus.NewDesc("dt_"+sample.Name, sample.Help, labels, nil)
		metrics <- prometheus.MustNewConstMetric(description, valueType, sample.Value, labelValues...)
	}
}

// Routes registers the /metrics endpoint, which serves the samples that the function returns
// at each request.
func Routes(e *echo.Echo, samples func() []Sample) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector(samples))
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
}

// Node is what the metrics that every process has are taken from.
type Node struct {
	SpecVersion  uint64 // in force here
	MessagesSent uint64
	Register     register.Counts
}

// Samples returns the metrics that every process has.
func (n Node) Samples() []Sample {
	total := func(name, help string, value uint64) Sample {
		return Sample{Name: name, Help: help, Value: float64(value), Counter: true}
	}
	return []Sample{
		{Name: "spec_version", Help: "Version of the spec in force here.", Value: float64(n.SpecVersion)},
		total("messages_sent_total", "Messages sent to other processes.", n.MessagesSent),
		total("register_rounds_total", "Rounds of the register asked for.", n.Register.Rounds),
		total("register_proposals_total", "Ballots prepared for reads and changes of registers.", n.Register.Proposals),
		total("register_completions_total", "Reads that completed another's change.", n.Register.Completions),
		total("register_refused_total", "Attempts refused for another proposer's higher ballot.", n.Register.Refused),
	}
}
