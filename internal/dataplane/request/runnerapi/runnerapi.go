// Package runnerapi is the HTTP contract between edges and runners: the requests sent to
// a runner and its reports. docs/runners.md describes it for their authors.
package runnerapi

// JobHeader names the job in a request of POST /v1/run, and in each answer to it.
const JobHeader = "X-Damsontiller-Job"

// Runner states.
const (
	Ready    = "ready"
	Draining = "draining"
	Other    = "other" // refused: meant for another process
	Departed = "gone"
)

// Report is a runner's answer to GET /v1/report.
type Report struct {
	Name        string   `json:"name"`
	State       string   `json:"state"`
	Incarnation string   `json:"mark,omitempty"` // of this start of the process
	Concurrency int      `json:"bears"`          // jobs at once, at present
	Load        int      `json:"busy"`
	UpMs        int64    `json:"up_ms"`
	Refused     int64    `json:"refused"` // jobs refused since it came up
	Prefixes    []string `json:"prefixes,omitempty"`
}

// Request is the body of POST /v1/run.
type Request struct {
	Job         string   `json:"job"`
	Route       string   `json:"route"`
	Incarnation string   `json:"mark,omitempty"` // of the process it is meant for
	Program     string   `json:"program"`
	Class       string   `json:"class"`
	Parts       []string `json:"parts,omitempty"`
	History     any      `json:"history,omitempty"`
	Prompt      string   `json:"words"`
	MaxOutput   int64    `json:"max_output,omitempty"`
	DeadlineMs  int64    `json:"cutoff_ms"`
}

// Response is a runner's complete response to a job.
type Response struct {
	Job       string   `json:"job"`
	Text      string   `json:"text"`
	Output    int64    `json:"output"`
	PrefixHit bool     `json:"held"` // the prefix was held, prefill was skipped
	Prefixes  []string `json:"prefixes,omitempty"`
}

// Failure is the body of a runner's refusal or failure.
type Failure struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
	State string `json:"state,omitempty"`
}

// ListedRunner is one entry of the platform's list, GET /v1/runners.
type ListedRunner struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Zone  string `json:"zone"`
	Route string `json:"route"`
}

// RunnerList is the platform's list.
type RunnerList struct {
	Runners []ListedRunner `json:"runners"`
}
