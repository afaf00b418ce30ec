package call

import (
	"net/http"
	"sync"

	"damsontiller/internal/dataplane/request/runnerapi"
)

// A faulty runner may send an unsolicited second answer on a connection. If the next job has
// just been sent on that connection, the answer would be attributed to it. So a connection is
// reused only with runners whose answers name their job, and an answer on a reused connection
// that names no job or another one proves nothing.

// namingRunners is the set of runner addresses whose last answer named its job. Its methods
// may be called concurrently.
type namingRunners struct{ addrs sync.Map }

// reusable reports whether a connection to an address may serve more than one job.
func (n *namingRunners) reusable(addr string) bool {
	_, ok := n.addrs.Load(addr)
	return ok
}

// observe records whether an answer from an address named its job.
func (n *namingRunners) observe(addr string, header http.Header) {
	if header.Get(runnerapi.JobHeader) == "" {
		n.addrs.Delete(addr)
		return
	}
	n.addrs.Store(addr, true)
}

// answersJob reports whether an answer certainly belongs to a job: it names the job, or it
// names none and arrived on a connection that served no other job.
func answersJob(header http.Header, id string, reused bool) bool {
	named := header.Get(runnerapi.JobHeader)
	return named == id || named == "" && !reused
}
