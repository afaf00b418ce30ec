package proxy

import (
	"bytes"
	"strconv"
)

// resumption keeps the events of a stream that is taken up again from reaching the caller
// twice, whether or not the run that takes it up heeds Last-Event-Id. The zero resumption
// repeats nothing.
type resumption struct {
	after     string          // id of the last event that the caller has; empty: it has none
	replaying bool            // this run has brought an event that the caller has
	seen      map[string]bool // ids that the caller was handed, where they are no numbers
}

// maxNamedEvents bounds the ids kept of a stream whose ids are no numbers.
const maxNonNumericIDs = 4096

// begin is called where a run begins whose events the caller has up to an id.
func (r *resumption) begin(after string) { r.after, r.replaying = after, false }

// repeats reports whether the caller has an event already. Once one comes that the caller
// has not, those that follow it are new as well.
func (r *resumption) isDuplicate(event []byte) bool {
	if r.after == "" {
		return false
	}
	id, hasID := eventID(event)
	if !hasID {
		// Between events that the caller has stands what it has as well.
		return r.replaying
	}
	if r.seen[id] || id == r.after || precedes(id, r.after) {
		r.replaying = true
		return true
	}
	r.after = ""
	return false
}

// handedOn remembers an event that the caller was handed.
func (r *resumption) recordID(id string) {
	if _, err := strconv.ParseUint(id, 10, 64); err == nil || len(r.seen) >= maxNonNumericIDs {
		return
	}
	if r.seen == nil {
		r.seen = map[string]bool{}
	}
	r.seen[id] = true
}

// risesTo reports whether an id comes before another in the order of numbers.
func precedes(id, later string) bool {
	a, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	b, err := strconv.ParseUint(later, 10, 64)
	return err == nil && a < b
}

// eventID is the id that an event names.
func eventID(event []byte) (id string, hasID bool) {
	for line := range bytes.Lines(event) {
		field, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(field) == "id" {
			id, hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return id, hasID
}
