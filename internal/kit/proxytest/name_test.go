package proxytest_test

import "testing"

// TestNameNotUTF8: a caller's names that the wire between the nodes can't carry end
// no process, and the edges and stores serve on.
func TestNameNotUTF8(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, f *fleet) {
		r := f.at("e1")
		budget, most := head("X-Test-Budget", "64"), head("X-Test-Most", "32")
		r.ask(stream+"x", "a", try("program", budget, most, head("X-Test-Program", "p\xff")))
		r.ask(stream+"x", "a", try("reserved\xff", budget, most, head("X-Test-Program", "p")))
		r.ask(kept+"x", "a", try("kept\xff"))
		r.ask(kept+"x", "a", try("follows", head("X-Test-Follows", "t\xff")))
		for _, path := range []string{stream, kept} {
			if x := r.ask(path+"x", "a"); x.status != 200 {
				t.Errorf("%s afterwards: status %d %s", path, x.status, x.body)
			}
		}
	})
}
