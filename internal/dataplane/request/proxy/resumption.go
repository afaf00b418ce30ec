package proxy

import (
	"bytes"
	"strconv"

	"damsontiller/internal/transport/membudget"
)

// resumption drops events of a resumed stream that the caller has already received, whether or not
// the resuming run respects Last-Event-Id. The zero value drops nothing.
type resumption struct {
	after     string          // id of the last event that the caller received; empty: none
	replaying bool            // this run has sent an event that the caller already received
	seen      map[string]bool // non-numeric ids that the caller received
}

// maxNonNumericIDs limits the non-numeric ids kept per stream.
const maxNonNumericIDs = 4096

// begin starts a run of which the caller already has the events up to the given id.
func (r *resumption) begin(after string) { r.after, r.replaying = after, false }

// isDuplicate reports whether the caller already received an event. After the first new event, all
// later ones are new as well.
func (r *resumption) isDuplicate(event []byte) bool {
	if r.after == "" {
		return false
	}
	id, hasID := eventID(event)
	if !hasID {
		// An event without an id between received events was received as well.
		return r.replaying
	}
	if r.seen[id] || id == r.after || precedes(id, r.after) {
		r.replaying = true
		return true
	}
	r.after = ""
	return false
}

// idOverheadBytes estimates the memory of a recorded id in addition to its bytes.
const idOverheadBytes = 64

// recordID records an event that was forwarded to the caller, in memory of the account. It reports
// whether there was enough.
func (r *resumption) recordID(id string, memory *membudget.Account) bool {
	if _, err := strconv.ParseUint(id, 10, 64); err == nil || len(r.seen) >= maxNonNumericIDs {
		return true
	}
	if memory.Grow(int64(len(id))+idOverheadBytes) != nil {
		return false
	}
	if r.seen == nil {
		r.seen = map[string]bool{}
	}
	r.seen[id] = true
	return true
}

// precedes reports whether an id is a number below another one.
func precedes(id, later string) bool {
	a, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	b, err := strconv.ParseUint(later, 10, 64)
	return err == nil && a < b
}

// eventID returns the id field of an event.
func eventID(event []byte) (id string, hasID bool) {
	for line := range bytes.Lines(event) {
		field, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(field) == "id" {
			id, hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return id, hasID
}
