// Package script holds policy programs: two short expressions, by which jobs are
// ordered and runners are ranked. They are CEL: typed, without loops, and bounded
// in cost, so that a program ends and stays small whatever it says.
package script

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/ext"

	"damsontiller/internal/transport/code"
)

// Job is what a program sees of a job. It never sees words of a caller.
type Job struct {
	Program     string   `cel:"program"` // class of the program
	Class       string   `cel:"class"`
	Route       string   `cel:"route"`
	Conv        string   `cel:"conversation"`
	Urgent      bool     `cel:"urgent"`
	Keyed       bool     `cel:"keyed"`
	Follows     bool     `cel:"follows"`
	SecondsLeft float64  `cel:"left"`   // seconds until its deadline, when it is looked at
	InputLength int64    `cel:"words"`  // length of its words and history
	MaxOutput   int64    `cel:"output"` // largest output allowed
	Parts       []string `cel:"parts"`
}

// Runner is what it sees of a runner that the job may go to.
type Runner struct {
	Name   string  `cel:"name"`
	Zone   string  `cel:"zone"`
	Near   bool    `cel:"near"` // in the zone of this edge
	Free   int64   `cel:"free"` // slots that the job could take
	Used   int64   `cel:"used"`
	Prefix float64 `cel:"prefix"` // share of the job's parts that it holds, leading ones
}

// Bounds on a program.
const (
	MaxText = 4096
	MaxCost = 2000 // of one evaluation, in CEL's own units: about a step or ten bytes each
)

// Source is a program's text.
type Source struct {
	Rank  string // higher goes first; empty: the built-in
	Order string // lower goes first within a class of work; empty: by deadline
}

// Digest names a text.
func (s Source) Digest() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s\n%s", len(s.Rank), s.Rank, s.Order))
	return hex.EncodeToString(sum[:])
}

// Script is a checked program. It may be run by many at once.
type Script struct {
	rank, order cel.Program
}

func env(vars ...cel.EnvOption) (*cel.Env, error) {
	return cel.NewEnv(append([]cel.EnvOption{
		ext.NativeTypes(
			reflect.TypeFor[Job](),
			reflect.TypeFor[Runner](),
			ext.ParseStructTags(true),
		), ext.Math(), ext.Bindings(),
		cel.Variable("job", cel.ObjectType("script.Job"))}, vars...)...)
}

// Load checks a program. runners and zones are the names there are; a literal
// compared with a runner's name or zone must be one of them.
func Load(s Source, runners, zones map[string]bool) (*Script, error) {
	if len(s.Rank)+len(s.Order) > MaxText {
		return nil, code.New(code.BadPolicy, "%d characters, limit %d", len(s.Rank)+len(s.Order), MaxText)
	}
	if strings.TrimSpace(s.Rank+s.Order) == "" {
		return nil, code.New(code.BadPolicy, "neither rank nor order is given")
	}
	var out Script
	for _, p := range []struct {
		what, text string
		into       *cel.Program
		vars       []cel.EnvOption
	}{
		{"rank", s.Rank, &out.rank, []cel.EnvOption{cel.Variable("runner", cel.ObjectType("script.Runner"))}},
		{"order", s.Order, &out.order, nil},
	} {
		if strings.TrimSpace(p.text) == "" {
			continue
		}
		e, err := env(p.vars...)
		if err != nil {
			return nil, code.New(code.BadPolicy, "%s: %w", p.what, err)
		}
		a, iss := e.Compile(p.text)
		if iss.Err() != nil {
			first := iss.Errors()[0]
			return nil, code.New(
				code.BadPolicy,
				"%s, line %d, column %d: %s",
				p.what,
				first.Location.Line(),
				first.Location.Column()+1,
				first.Message,
			)
		}
		if t := a.OutputType(); !t.IsExactType(cel.DoubleType) && !t.IsExactType(cel.IntType) {
			return nil, code.New(code.BadPolicy, "%s, line 1: gives %s, wanted is a number", p.what, t)
		}
		if err := names(p.what, a, runners, zones); err != nil {
			return nil, err
		}
		if *p.into, err = e.Program(a, cel.CostLimit(MaxCost), cel.EvalOptions(cel.OptOptimize)); err != nil {
			return nil, code.New(code.BadPolicy, "%s: %w", p.what, err)
		}
	}
	return &out, nil
}

// names finds literals that are compared with a runner's name or zone and name
// none that there is.
func names(what string, a *cel.Ast, runners, zones map[string]bool) error {
	nat := a.NativeRep()
	var bad error
	check := func(field, lit ast.Expr) {
		if field.Kind() != ast.SelectKind || bad != nil {
			return
		}
		known := runners
		switch f := field.AsSelect(); {
		case f.Operand().Kind() != ast.IdentKind || f.Operand().AsIdent() != "runner":
			return
		case f.FieldName() == "zone":
			known = zones
		case f.FieldName() != "name":
			return
		}
		lits := []ast.Expr{lit}
		if lit.Kind() == ast.ListKind {
			lits = lit.AsList().Elements()
		}
		for _, l := range lits {
			if l.Kind() != ast.LiteralKind {
				continue
			}
			if n, ok := l.AsLiteral().Value().(string); ok && !known[n] && bad == nil {
				at := nat.SourceInfo().GetStartLocation(l.ID())
				bad = code.New(
					code.BadPolicy,
					"%s, line %d, column %d: there is no %q",
					what,
					at.Line(),
					at.Column()+1,
					n,
				)
			}
		}
	}
	ast.PreOrderVisit(nat.Expr(), ast.NewExprVisitor(func(e ast.Expr) {
		if e.Kind() != ast.CallKind {
			return
		}
		c := e.AsCall()
		switch c.FunctionName() {
		case operators.Equals, operators.NotEquals:
			check(c.Args()[0], c.Args()[1])
			check(c.Args()[1], c.Args()[0])
		case operators.In:
			check(c.Args()[0], c.Args()[1])
		}
	}))
	return bad
}

// Ranks reports whether it ranks runners, Orders whether it orders jobs.
func (s *Script) Ranks() bool { return s != nil && s.rank != nil }

// Orders reports whether it orders jobs.
func (s *Script) Orders() bool { return s != nil && s.order != nil }

// Rank is a runner's rank for a job.
func (s *Script) Rank(j *Job, r *Runner) (float64, error) {
	return run(s.rank, map[string]any{"job": j, "runner": r})
}

// Order is a job's place within its class.
func (s *Script) Order(j *Job) (float64, error) { return run(s.order, map[string]any{"job": j}) }

func run(p cel.Program, in map[string]any) (float64, error) {
	v, _, err := p.Eval(in)
	if err != nil {
		return 0, code.New(code.BadPolicy, "%w", err)
	}
	switch n := v.Value().(type) {
	case float64:
		if n != n {
			return 0, code.New(code.BadPolicy, "the result is no number")
		}
		return n, nil
	case int64:
		return float64(n), nil
	}
	return 0, code.New(code.BadPolicy, "the result is a %s", v.Type())
}
