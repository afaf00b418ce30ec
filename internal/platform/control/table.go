package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

var kinds = map[string]string{
	"idempotent":     spec.Repeatable,
	"non_idempotent": spec.Once,
	"streaming":      spec.Stream,
	"keyed":          spec.Keyed,
}

// weightUnit makes integer weights of shares, which may be fractions.
const weightUnit = 1e6

// maxObjects bounds the JSON objects of a configuration. An empty one takes some hundred times its
// bytes once it is decoded.
const maxObjects = 64 << 10

func decode(b []byte, into easyjson.Unmarshaler) error {
	if bytes.Count(b, []byte("{")) > maxObjects {
		return code.New(code.TooLarge, "more than %d objects", maxObjects)
	}
	// The generated readers skip over what they don't know without a read of it.
	if !json.Valid(b) {
		return code.New(code.BadJSON, "the body is not JSON")
	}
	err := easyjson.Unmarshal(b, into)
	var syntax *jlexer.LexerError
	if errors.As(err, &syntax) {
		// Without the piece of the body that the library's own text shows: it may hold
		// credentials.
		return code.New(code.BadJSON, "%s, near byte %d of an item", syntax.Reason, syntax.Offset)
	}
	if err != nil {
		return code.New(code.BadJSON, "%w", err)
	}
	return nil
}

// Whole reads an entire configuration.
func Whole(b []byte) (spec.Table, error) {
	var w fullTable
	if err := decode(b, &w); err != nil {
		return spec.Table{}, err
	}
	if w.Revision == nil {
		return spec.Table{}, code.New(code.BadSpec, "revision is missing")
	}
	t := spec.Table{Revision: *w.Revision}
	var err error
	if t.Paths, err = items(w.Routes, path); err != nil {
		return t, err
	}
	if t.Services, err = items(w.Services, service); err != nil {
		return t, err
	}
	if t.Tenants, err = items(w.Tenants, tenant); err != nil {
		return t, err
	}
	if len(w.Limits) > 0 {
		t.Limits, err = limits(w.Limits)
	}
	return t, err
}

// Patch reads a change of named items; the change is made on the table in force.
func Patch(b []byte) (revision uint64, apply func(spec.Table) spec.Table, err error) {
	var w patchTable
	if err := decode(b, &w); err != nil {
		return 0, nil, err
	}
	if w.Revision == nil {
		return 0, nil, code.New(code.BadSpec, "revision is missing")
	}
	var put spec.Items
	if put.Paths, err = items(w.Put.Routes, path); err != nil {
		return 0, nil, err
	}
	if put.Services, err = items(w.Put.Services, service); err != nil {
		return 0, nil, err
	}
	if put.Tenants, err = items(w.Put.Tenants, tenant); err != nil {
		return 0, nil, err
	}
	var lim *spec.Limits
	if len(w.Put.Limits) > 0 {
		l, err := limits(w.Put.Limits)
		if err != nil {
			return 0, nil, err
		}
		lim = &l
	}
	return *w.Revision, func(t spec.Table) spec.Table {
		t = t.With(put, spec.Names(w.Drop))
		if lim != nil {
			t.Limits = *lim
		}
		return t
	}, nil
}

func items[T any](all []easyjson.RawMessage, one func([]byte) (T, error)) ([]T, error) {
	out := make([]T, 0, len(all))
	for _, b := range all {
		t, err := one(b)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

func path(b []byte) (spec.Path, error) {
	var r routeItem
	if err := decode(b, &r); err != nil {
		return spec.Path{}, err
	}
	p := spec.Path{
		Name:      r.Name,
		Authority: r.Authority,
		Prefix:    r.Prefix,
		Kind:      kinds[r.Kind],
		GuardMs:   whole(r.GuardMs),
		LatencyTargetMs: whole(
			r.LatencyTargetMs,
		),
		PauseMs:   whole(r.PauseMs),
		Rank:      int(whole(r.Rank)),
		Tries:     int(whole(r.Tries)),
		Kept:      r.Kept,
		KeepMs:    whole(r.KeepS * 1000),
		Affine:    r.Affine,
		Resumable: r.Resumable,
		Keyless:   r.Keyless,
		Origin:    json.RawMessage(b),
	}
	if p.Kind == "" {
		return p, code.New(code.BadSpec, "route %s: %q is not a route-type", r.Name, r.Kind)
	}
	for _, s := range r.Split {
		p.To = append(p.To, spec.Share{Service: s.Service, Weight: whole(s.Share * weightUnit)})
	}
	if len(p.To) == 0 && r.Service != "" {
		p.To = []spec.Share{{Service: r.Service, Weight: weightUnit}}
	}
	return p, nil
}

func service(b []byte) (spec.Service, error) {
	var r serviceItem
	if err := decode(b, &r); err != nil {
		return spec.Service{}, err
	}
	s := spec.Service{
		Name:       r.Name,
		HealthPath: r.Health,
		MaxConns:   int(whole(r.MaxConns)),
		WarmupMs:   whole(r.WarmupSeconds * 1000),
		WarmupRate: r.WarmupRate,

		Deduplicates: r.Deduplicates,
		Origin:       json.RawMessage(b),
	}
	if e := r.Engine; e != nil {
		s.Engine = &spec.Engine{
			Batch:          int(whole(e.Batch)),
			CacheTokens:    whole(e.CacheTokens),
			TokensPerEvent: whole(e.PerEvent),
		}
	}
	return s, nil
}

func tenant(b []byte) (spec.Tenant, error) {
	var r tenantItem
	if err := decode(b, &r); err != nil {
		return spec.Tenant{}, err
	}
	n := spec.Tenant{
		Name:        r.Name,
		Credentials: r.Credentials,
		RatePerS:    r.RatePerS,
		Burst:       r.Burst,
		Origin:      json.RawMessage(b),
	}
	if r.Rank != nil {
		rank := int(whole(*r.Rank))
		n.Rank = &rank
	}
	return n, nil
}

func limits(b []byte) (spec.Limits, error) {
	var r limitsItem
	if err := decode(b, &r); err != nil {
		return spec.Limits{}, err
	}
	return spec.Limits{
		HeaderBytes: whole(r.HeaderBytes),
		BodyBytes:   whole(r.BodyBytes),
		HeaderMs:    whole(r.HeaderMs),
		IdleMs:      whole(r.IdleMs),
		Origin:      json.RawMessage(b),
	}, nil
}

// whole rounds a figure away from 0, so that a little of something is not nothing.
func whole(f float64) int64 {
	if f < 0 {
		return int64(math.Floor(max(f, -1<<52)))
	}
	return int64(math.Ceil(min(f, 1<<52)))
}

// Written is a table as its authors wrote it.
func Written(t *spec.Table) ([]byte, error) {
	w := fullTable{
		Revision: &t.Revision,
		Routes:   []easyjson.RawMessage{},
		Services: []easyjson.RawMessage{},
		Limits:   easyjson.RawMessage(t.Limits.Origin),
	}
	for i := range t.Paths {
		w.Routes = append(w.Routes, easyjson.RawMessage(t.Paths[i].Origin))
	}
	for i := range t.Services {
		w.Services = append(w.Services, easyjson.RawMessage(t.Services[i].Origin))
	}
	for i := range t.Tenants {
		w.Tenants = append(w.Tenants, easyjson.RawMessage(t.Tenants[i].Origin))
	}
	return w.MarshalJSON()
}

// base reads the revision that a change builds on.
func base(v string) (uint64, error) {
	if v == "" {
		return 0, code.New(code.NoHeader, "%s is missing", hBase)
	}
	n, err := strconv.ParseUint(strings.Trim(v, `" `), 10, 64)
	if err != nil {
		return 0, code.New(code.BadHeader, "%s: %q is not a revision", hBase, v)
	}
	return n, nil
}
