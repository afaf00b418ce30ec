package proxy

import (
	"strings"
	"testing"
)

// TestResumption checks that events that a resuming run repeats are dropped, with numeric and other
// ids, and that new events are forwarded, whether or not the run starts after the requested event.
func TestResumption(t *testing.T) {
	event := func(id string) string { return "id: " + id + "\ndata: " + id + "\n\n" }
	for _, tc := range []struct {
		name          string
		first, second string
		callerHas     string
		want          string
	}{
		{"respects the requested event", event("1") + event("2"), event("3") + event("4"), "", event("3") + event("4")},
		{"starts over", event("1") + event("2"), event("1") + event("2") + event("3"), "", event("3")},
		{"starts one event too early", event("8") + event("9"), event("9") + event("10"), "", event("10")},
		{"names", event("a") + event("b"), event("a") + event("b") + event("c"), "", event("c")},
		{"other names", event("b") + event("a"), event("c") + event("a"), "", event("c") + event("a")},
		{
			"between events that the caller has", event("1"), ": one\n\n" + event("1") + ": two\n\n" + event("2") + ": three\n\n",
			"", ": one\n\n" + event("2") + ": three\n\n",
		},
		{"the caller has some", "", event("1") + event("2") + event("3"), "2", event("3")},
		{"the caller has a later one", "", event("1") + event("2"), "7", ""},
		{"numbers rise as numbers", event("99"), event("100") + event("101"), "", event("100") + event("101")},
	} {
		response := &Response{resumable: true, callerLastEventID: tc.callerHas}
		if tc.first != "" {
			if got, err := feed(response, strings.NewReader(tc.first)); err != nil || got != tc.first {
				t.Errorf("%s: the first run forwarded %q, %v", tc.name, got, err)
			}
		}
		if got, err := feed(response, strings.NewReader(tc.second)); err != nil || got != tc.want {
			t.Errorf("%s: the second run forwarded %q, want %q, %v", tc.name, got, tc.want, err)
		}
	}
	plain := &Response{callerLastEventID: "5"}
	if got, err := feed(plain, strings.NewReader(event("1"))); err != nil || got != event("1") {
		t.Errorf("a stream that can't be resumed forwarded %q, %v", got, err)
	}
}
