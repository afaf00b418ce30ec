// Package metrics serves a process's own metrics at /metrics in the Prometheus format.
package metrics

import (
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
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

// NodeSamples returns the metrics that every process has: the version of the spec in force
// and the number of messages sent.
func NodeSamples(specVersion uint64, messagesSent uint64) []Sample {
	return []Sample{
		{Name: "spec_version", Help: "Version of the spec in force here.", Value: float64(specVersion)},
		{
			Name:    "messages_sent_total",
			Help:    "Messages sent to other processes.",
			Value:   float64(messagesSent),
			Counter: true,
		},
	}
}
