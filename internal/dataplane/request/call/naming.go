package call

import (
	"net/http"
	"sync"

	"damsontiller/internal/dataplane/request/runnerapi"
)

// A runner that speaks unasked may send a second answer right after the next job has gone
// out on the same connection, and it would be taken for that job's. So a connection serves
// more than one job only with runners whose answers name their job, and an answer on it
// that names none or another proves nothing.

// namingRunners are the addresses whose last answer has named its job. Its methods may be
// called concurrently.
type namingRunners struct{ addrs sync.Map }

// keeps reports whether connections to an address may serve more than one job.
func (n *namingRunners) keeps(addr string) bool {
	_, ok := n.addrs.Load(addr)
	return ok
}

// observe notes whether an answer from an address has named its job.
func (n *namingRunners) observe(addr string, header http.Header) {
	if header.Get(runnerapi.JobHeader) == "" {
		n.addrs.Delete(addr)
		return
	}
	n.addrs.Store(addr, true)
}

// answersJob reports whether an answer is certainly a job's own: it names the job, or it
// names none and came on a connection that served no other job.
func answersJob(header http.Header, id string, reused bool) bool {
	named := header.Get(runnerapi.JobHeader)
	return named == id || named == "" && !reused
}
