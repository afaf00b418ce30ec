package control

import "github.com/mailru/easyjson"

//go:generate go tool easyjson wire.go

// fullTable is an operators' entire configuration; its items are kept as written.
//
//easyjson:json
type fullTable struct {
	Revision *uint64               `json:"revision"`
	Routes   []easyjson.RawMessage `json:"route-table"`
	Services []easyjson.RawMessage `json:"service-table"`
	Limits   easyjson.RawMessage   `json:"limits,omitempty"`
	Tenants  []easyjson.RawMessage `json:"subscribers,omitempty"`
}

// patchTable is a change of named items.
//
//easyjson:json
type patchTable struct {
	Revision *uint64   `json:"revision"`
	Put      fullItems `json:"upsert"`
	Drop     dropItems `json:"remove"`
}

type fullItems struct {
	Routes   []easyjson.RawMessage `json:"route-table"`
	Services []easyjson.RawMessage `json:"service-table"`
	Limits   easyjson.RawMessage   `json:"limits"`
	Tenants  []easyjson.RawMessage `json:"subscribers"`
}

type dropItems struct {
	Paths    []string `json:"route-table"`
	Services []string `json:"service-table"`
	Tenants  []string `json:"subscribers"`
}

// routeItem is a route; figures may be integers or fractions.
//
//easyjson:json
type routeItem struct {
	Name            string      `json:"name"`
	Authority       string      `json:"authority"`
	Prefix          string      `json:"path-prefix"`
	Kind            string      `json:"route-type"`
	GuardMs         float64     `json:"guard-timer-ms"`
	LatencyTargetMs float64     `json:"target-latency-ms"`
	PauseMs         float64     `json:"target-interval-ms"`
	Rank            float64     `json:"precedence"`
	Service         string      `json:"target-service"`
	Split           []splitItem `json:"distribution"`
	Tries           float64     `json:"max-attempts"`
	Kept            bool        `json:"retained"`
	KeepS           float64     `json:"retention-s"`
	Affine          bool        `json:"affinity"`
	Resumable       bool        `json:"resumable"`
	Keyless         bool        `json:"keyless"`
}

type splitItem struct {
	Service string  `json:"target-service"`
	Share   float64 `json:"share"`
}

//easyjson:json
type serviceItem struct {
	Name          string      `json:"name"`
	Health        string      `json:"health-path"`
	MaxConns      float64     `json:"max-connections"`
	WarmupSeconds float64     `json:"cold-period-s"`
	WarmupRate    float64     `json:"cold-rate-s"`
	Engine        *engineItem `json:"engine"`
	Deduplicates  bool        `json:"dedup-capable"`
}

// tenantItem is a tenant with its credentials.
//
//easyjson:json
type tenantItem struct {
	Name        string   `json:"name"`
	Credentials []string `json:"credentials"`
	Rank        *float64 `json:"precedence"`
	RatePerS    float64  `json:"rate-per-s"`
	Burst       float64  `json:"burst-size"`
}

type engineItem struct {
	Batch       float64 `json:"capacity"`
	CacheTokens float64 `json:"cache-tokens"`
	PerEvent    float64 `json:"tokens-per-event"`
}

//easyjson:json
type limitsItem struct {
	HeaderBytes float64 `json:"max-header-bytes"`
	BodyBytes   float64 `json:"max-body-bytes"`
	HeaderMs    float64 `json:"header-timer-ms"`
	IdleMs      float64 `json:"idle-timer-ms"`
}
