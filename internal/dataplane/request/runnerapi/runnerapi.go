// Package runnerapi is the HTTP contract between edges and runners: the requests sent to
// a runner, its responses and its reports. docs/runners.md documents it for authors of runners.
package runnerapi

// JobHeader names the job in a request of POST /v1/run, and in each answer to it.
const JobHeader = "X-Damsontiller-Job"

// States that a runner reports.
const (
	Ready    = "ready"
	Draining = "draining"
	Other    = "other" // refused: the request was for another process
	Departed = "gone"
)

// Report is a runner's answer to GET /v1/report.
type Report struct {
	Name        string   `json:"name"`
	State       string   `json:"state"`
	Incarnation string   `json:"mark,omitempty"` // of this start of the process
	Concurrency int      `json:"bears"`          // current limit of parallel jobs
	Load        int      `json:"busy"`
	UpMs        int64    `json:"up_ms"`
	Refused     int64    `json:"refused"` // jobs refused since the process started
	Prefixes    []string `json:"prefixes,omitempty"`
}

// Request is the body of POST /v1/run.
type Request struct {
	Job         string   `json:"job"`
	Route       string   `json:"route"`
	Incarnation string   `json:"mark,omitempty"` // of the process that the job is for
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
	PrefixHit bool     `json:"held"` // the prefix was cached and prefill was skipped
	Prefixes  []string `json:"prefixes,omitempty"`
}

// Failure is the body of a runner's answer that refuses a job or reports its failure.
type Failure struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
	State string `json:"state,omitempty"`
}

// ListedRunner is one entry of the platform's list of runners.
type ListedRunner struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Zone  string `json:"zone"`
	Route string `json:"route"`
}

// RunnerList is the platform's answer to GET /v1/runners.
type RunnerList struct {
	Runners []ListedRunner `json:"runners"`
}
