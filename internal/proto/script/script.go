// Package script compiles and evaluates policy programs. A program has up to two CEL
// expressions: one ranks runners, the other orders jobs. CEL expressions are typed and
// have no unbounded loops, and evaluation has a cost limit, so that every program
// terminates and uses a bounded amount of memory.
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

// Job holds the attributes of a job that a program can read. Request content is not
// among them.
type Job struct {
	Program     string   `cel:"program"` // class of the program
	Class       string   `cel:"class"`
	Route       string   `cel:"route"`
	Conv        string   `cel:"conversation"`
	Urgent      bool     `cel:"urgent"`
	Keyed       bool     `cel:"keyed"`
	Follows     bool     `cel:"follows"`
	SecondsLeft float64  `cel:"left"`   // seconds until the deadline, at the time of evaluation
	InputLength int64    `cel:"words"`  // bytes of the prompt and the conversation history
	MaxOutput   int64    `cel:"output"` // limit on the output
	Parts       []string `cel:"parts"`
}

// Runner holds the attributes of a candidate runner that a program can read.
type Runner struct {
	Name   string  `cel:"name"`
	Zone   string  `cel:"zone"`
	Near   bool    `cel:"near"` // in the same zone as this edge
	Free   int64   `cel:"free"` // slots available to the job
	Used   int64   `cel:"used"`
	Prefix float64 `cel:"prefix"` // fraction of the job's parts, counted from the first, that it has cached
}

// Limits of a program.
const (
	MaxText = 4096 // bytes of both expressions together
	MaxCost = 2000 // CEL cost units per evaluation; a unit is about one step or ten bytes
)

// Source is the text of a program. At least one expression must be set.
type Source struct {
	Rank  string // runners with a higher value are preferred; empty: the built-in rule
	Order string // jobs with a lower value go first within a class; empty: by deadline
}

// Digest returns a hash that identifies the source.
func (s Source) Digest() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s\n%s", len(s.Rank), s.Rank, s.Order))
	return hex.EncodeToString(sum[:])
}

// Script is a compiled program. It is safe for concurrent use.
type Script struct {
	rank, order cel.Program
}

// newEnv makes the CEL environment with the job variable and the given further ones.
func newEnv(vars ...cel.EnvOption) (*cel.Env, error) {
	return cel.NewEnv(append([]cel.EnvOption{
		ext.NativeTypes(
			reflect.TypeFor[Job](),
			reflect.TypeFor[Runner](),
			ext.ParseStructTags(true),
		), ext.Math(), ext.Bindings(),
		cel.Variable("job", cel.ObjectType("script.Job"))}, vars...)...)
}

// Load compiles and checks a program. runners and zones are the known names: a literal
// that is compared with a runner's name or zone must be one of them.
func Load(s Source, runners, zones map[string]bool) (*Script, error) {
	if len(s.Rank)+len(s.Order) > MaxText {
		return nil, code.New(code.BadPolicy, "%d characters, limit %d", len(s.Rank)+len(s.Order), MaxText)
	}
	if strings.TrimSpace(s.Rank+s.Order) == "" {
		return nil, code.New(code.BadPolicy, "neither rank nor order is given")
	}
	var loaded Script
	for _, expression := range []struct {
		name, text string
		target     *cel.Program
		vars       []cel.EnvOption
	}{
		{"rank", s.Rank, &loaded.rank, []cel.EnvOption{cel.Variable("runner", cel.ObjectType("script.Runner"))}},
		{"order", s.Order, &loaded.order, nil},
	} {
		if strings.TrimSpace(expression.text) == "" {
			continue
		}
		celEnv, err := newEnv(expression.vars...)
		if err != nil {
			return nil, code.New(code.BadPolicy, "%s: %w", expression.name, err)
		}
		checked, issues := celEnv.Compile(expression.text)
		if issues.Err() != nil {
			first := issues.Errors()[0]
			return nil, code.New(
				code.BadPolicy,
				"%s, line %d, column %d: %s",
				expression.name,
				first.Location.Line(),
				first.Location.Column()+1,
				first.Message,
			)
		}
		if t := checked.OutputType(); !t.IsExactType(cel.DoubleType) && !t.IsExactType(cel.IntType) {
			return nil, code.New(code.BadPolicy, "%s, line 1: gives %s, wanted is a number", expression.name, t)
		}
		if err := checkNames(expression.name, checked, runners, zones); err != nil {
			return nil, err
		}
		if *expression.target, err = celEnv.Program(
			checked,
			cel.CostLimit(MaxCost),
			cel.EvalOptions(cel.OptOptimize),
		); err != nil {
			return nil, code.New(code.BadPolicy, "%s: %w", expression.name, err)
		}
	}
	return &loaded, nil
}

// checkNames reports the first literal that is compared with a runner's name or zone and
// is not a known name.
func checkNames(expression string, checked *cel.Ast, runners, zones map[string]bool) error {
	native := checked.NativeRep()
	var failure error
	check := func(field, literal ast.Expr) {
		if field.Kind() != ast.SelectKind || failure != nil {
			return
		}
		known := runners
		switch selection := field.AsSelect(); {
		case selection.Operand().Kind() != ast.IdentKind || selection.Operand().AsIdent() != "runner":
			return
		case selection.FieldName() == "zone":
			known = zones
		case selection.FieldName() != "name":
			return
		}
		literals := []ast.Expr{literal}
		if literal.Kind() == ast.ListKind {
			literals = literal.AsList().Elements()
		}
		for _, element := range literals {
			if element.Kind() != ast.LiteralKind {
				continue
			}
			if name, ok := element.AsLiteral().Value().(string); ok && !known[name] && failure == nil {
				location := native.SourceInfo().GetStartLocation(element.ID())
				failure = code.New(
					code.BadPolicy,
					"%s, line %d, column %d: there is no %q",
					expression,
					location.Line(),
					location.Column()+1,
					name,
				)
			}
		}
	}
	ast.PreOrderVisit(native.Expr(), ast.NewExprVisitor(func(node ast.Expr) {
		if node.Kind() != ast.CallKind {
			return
		}
		call := node.AsCall()
		switch call.FunctionName() {
		case operators.Equals, operators.NotEquals:
			check(call.Args()[0], call.Args()[1])
			check(call.Args()[1], call.Args()[0])
		case operators.In:
			check(call.Args()[0], call.Args()[1])
		}
	}))
	return failure
}

// Ranks reports whether the program has a rank expression.
func (s *Script) Ranks() bool { return s != nil && s.rank != nil }

// Orders reports whether the program has an order expression.
func (s *Script) Orders() bool { return s != nil && s.order != nil }

// Rank returns the rank of a runner for a job; higher is preferred.
func (s *Script) Rank(j *Job, r *Runner) (float64, error) {
	return evaluate(s.rank, map[string]any{"job": j, "runner": r})
}

// Order returns the sort key of a job within its class; lower goes first.
func (s *Script) Order(j *Job) (float64, error) { return evaluate(s.order, map[string]any{"job": j}) }

// evaluate runs an expression, whose result must be a number.
func evaluate(p cel.Program, variables map[string]any) (float64, error) {
	v, _, err := p.Eval(variables)
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
