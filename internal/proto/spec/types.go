// Package spec holds the operators' configuration: its types, its checks and
// the cluster around it, which the system itself keeps (core and store sets).
package spec

//go:generate go tool easyjson -disallow_unknown_fields types.go table.go

// Spec is what operators write.
//
//easyjson:json
type Spec struct {
	Name       string    `json:"name"`
	Zones      []string  `json:"zones"`
	Runners    []Runner  `json:"runners"`
	Routes     []Route   `json:"routes"`
	Platform   string    `json:"platform,omitempty"`
	Classes    []Class   `json:"classes"`
	Keeping    []Keeping `json:"keeping"`
	Budgets    []Budget  `json:"budgets"`
	EmptyZones []string  `json:"empty_zones,omitempty"`
	// ForceEmpty lets the last zone, or all of a route's runners, be emptied.
	ForceEmpty bool     `json:"force_empty,omitempty"`
	Cooldown   Cooldown `json:"cooldown"`
	// StateKeeping is how long what is shared is kept after its last use.
	StateKeeping StateKeeping `json:"state_keeping"`
	// Policies are programs that order jobs and rank runners; Approvals are what
	// their rehearsals showed; Live is the one in force, for some programs or all.
	Policies  []Policy   `json:"policies,omitempty"`
	Approvals []Approval `json:"approvals,omitempty"`
	Live      *Live      `json:"live,omitempty"`
}

// StateKeeping is in seconds; 0 means the default.
type StateKeeping struct {
	// LongestWaitS is the longest that a caller may wait or a program may last.
	LongestWaitS int64 `json:"longest_wait_s,omitempty"`
	ClaimsS      int64 `json:"claims_s,omitempty"`
	BudgetsS     int64 `json:"purses_s,omitempty"`
	CooldownsS   int64 `json:"cooldowns_s,omitempty"`
	OperationsS  int64 `json:"operations_s,omitempty"`
}

// Policy is a policy program's text; see docs/policies.md.
type Policy struct {
	Name  string `json:"name"`
	Rank  string `json:"rank,omitempty"`
	Order string `json:"order,omitempty"`
}

// Live puts a policy in force for a share of all programs, in percent.
//
//easyjson:json
type Live struct {
	Policy string `json:"policy"`
	Share  int    `json:"share"`
}

// Approval is an operator's decision on a rehearsal: of which text, on which day,
// with which figures.
//
//easyjson:json
type Approval struct {
	Policy string  `json:"policy"`
	Digest string  `json:"digest"`
	Day    string  `json:"day"`
	Seed   uint64  `json:"seed"`
	Base   Figures `json:"base"` // of the policy in force
	Cand   Figures `json:"cand"` // of the candidate
}

// Figures are one column of a rehearsal.
type Figures struct {
	Name   string `json:"name"`
	Asks   int64  `json:"asks"`
	Served int64  `json:"served"`
	Missed int64  `json:"missed"` // deadlines missed, or surely to be
	// MissedByRun is the same for each run, to tell a difference from chance.
	MissedByRun []int64         `json:"missed_by_run"`
	Dropped     int64           `json:"dropped"`     // told anything else but served
	UrgentLate  int64           `json:"urgent_late"` // over half a second
	PrefixHits  int64           `json:"held"`        // prefixes held, of
	Parted      int64           `json:"parted"`      // turns that named parts
	Breaches    int64           `json:"breaches"`
	Fallbacks   int64           `json:"fallbacks"` // the program failed and the built-in decided
	Waits       map[string]Wait `json:"waits"`     // by class of work
}

// Wait is a class's waiting, in milliseconds.
type Wait struct {
	Median int64 `json:"median_ms"`
	P99    int64 `json:"p99_ms"`
}

// Runner is a back end known by name.
type Runner struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Route   string `json:"route"`
	Account string `json:"account,omitempty"`
}

// Route is a protected call: the model, or one tool.
type Route struct {
	Name    string `json:"name"`
	Model   bool   `json:"model,omitempty"`
	Account string `json:"account,omitempty"`
}

// Class is a class of work; the list's order says what goes first.
type Class struct {
	Name    string `json:"name"`
	Urgent  bool   `json:"urgent,omitempty"`
	Reserve int    `json:"reserve_percent,omitempty"`
}

// Keeping says how long conversations of a class are kept.
type Keeping struct {
	Class string `json:"class"`
	KeepS int64  `json:"keep_s"`
}

// Budget is the output allowed to each program of a class.
type Budget struct {
	Programs string `json:"programs"`
	Output   int64  `json:"output"`
}

// Cooldown is the schedule of waits after refusals.
type Cooldown struct {
	FirstMs  int64 `json:"first_ms,omitempty"`
	CapMs    int64 `json:"cap_ms,omitempty"`
	QuietMs  int64 `json:"quiet_ms,omitempty"`
	Statuses []int `json:"statuses,omitempty"`
}

// Machine is a core or store machine of the cluster.
type Machine struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Zone  string `json:"zone"`
	Ident string `json:"ident,omitempty"`
}

// Cluster is the register's entire value.
//
//easyjson:json
type Cluster struct {
	Cores  []Machine `json:"cores"`
	Stores []Machine `json:"stores"`
	// The sets being changed to; empty while no change is under way.
	NextCores  []Machine `json:"next_cores,omitempty"`
	NextStores []Machine `json:"next_stores,omitempty"`
	// CoresSince and StoresSince are the versions since which the sets of cores and of
	// stores, the next ones included, are these; 0 where an earlier release wrote them.
	CoresSince  uint64 `json:"cores_since,omitempty"`
	StoresSince uint64 `json:"stores_since,omitempty"`
	// Used are the identities that were removed last; none may come back. Earlier ones are
	// refused since they were made under a version below IdentityFloor.
	Used          []string `json:"used,omitempty"`
	IdentityFloor uint64   `json:"identity_floor,omitempty"`
	Spec          Spec     `json:"spec"`
	// Table routes proxied requests.
	Table Table `json:"table"`
	// TakenLog remembers the latest changes of the table, TakenFloor is the highest
	// revision that it has forgotten. Taken is where earlier versions kept them.
	TakenLog   []byte  `json:"taken_log,omitempty"`
	TakenFloor uint64  `json:"taken_floor,omitempty"`
	Taken      []Taken `json:"taken,omitempty"`
	// OperationLog remembers the latest orders that carried an id (operations.go).
	OperationLog []byte `json:"operations,omitempty"`
	// Copies is how many stores hold each key; 0 means 3.
	Copies int `json:"copies,omitempty"`
	// SelfManaged: the sets are self-managed; no operator takes machines in.
	SelfManaged bool `json:"tended,omitempty"`
	// Spares are the identities that were taken in beside the others, whose places
	// they may still take.
	Spares []string `json:"beside,omitempty"`
	// Retired are the names of stores that operators sent away: they are not taken
	// in again.
	Retired []string `json:"retired,omitempty"`
}

// Patch is a small change; what it leaves out stays as it is.
//
//easyjson:json
type Patch struct {
	Expect       uint64        `json:"expect,omitempty"`
	EmptyZones   *[]string     `json:"empty_zones,omitempty"`
	Classes      *[]Class      `json:"classes,omitempty"`
	Keeping      *[]Keeping    `json:"keeping,omitempty"`
	Budgets      *[]Budget     `json:"budgets,omitempty"`
	Cooldown     *Cooldown     `json:"cooldown,omitempty"`
	StateKeeping *StateKeeping `json:"state_keeping,omitempty"`
	Runners      *[]Runner     `json:"runners,omitempty"`
}

// PolicyPut is a policy's text as an operator sends it.
//
//easyjson:json
type PolicyPut struct {
	Rank  string `json:"rank,omitempty"`
	Order string `json:"order,omitempty"`
}

// Put is an entire replacement with the version it expects.
//
//easyjson:json
type Put struct {
	Expect uint64 `json:"expect"`
	Spec   Spec   `json:"spec"`
}

// State is a spec as read back.
//
//easyjson:json
type State struct {
	Version uint64 `json:"version"`
	Spec    Spec   `json:"spec"`
}
