package traffic_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/transport/code"
)

func dayFile(t *testing.T, rows int) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := traffic.NewWriter(&b, traffic.Head{Name: "d"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range rows {
		if err := w.Add(traffic.Row{T: int64(i), Job: "j", Route: "r", Program: "p", Code: 203}); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(1); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestFile checks that a written day file can be read, and that a file that is truncated,
// modified or of another format is rejected with an error that names the line.
func TestFile(t *testing.T) {
	good := dayFile(t, 3)
	d, err := traffic.Read(bytes.NewReader(good))
	if err != nil || len(d.Rows) != 3 || d.Lost != 1 || d.Name != "d" || d.Sum == "" {
		t.Fatalf("%+v %v", d, err)
	}
	for n := range len(good) - 1 {
		if _, err := traffic.Read(bytes.NewReader(good[:n])); code.Of(err) != code.BadDay {
			t.Fatalf("truncated at byte %d: %v", n, err)
		}
	}
	for _, tc := range [][3]string{
		{`"format":1`, `"format":2`, "line 1"},
		{`"code":203`, `"code":204`, "line 5"},
		{`"t":1,`, `"t":-1,`, "line 3"},
		{`{"t":2`, `{"t:2`, "line 4"},
		{`"rows":3`, `"rows":4`, "line 5"},
	} {
		bad := strings.Replace(string(good), tc[0], tc[1], 1)
		if _, err := traffic.Read(strings.NewReader(bad)); code.Of(err) != code.BadDay ||
			!strings.Contains(err.Error(), tc[2]) {
			t.Errorf("%s: %v", tc[1], err)
		}
	}
	if _, err := traffic.Read(strings.NewReader(string(good) + "{}\n")); code.Of(err) != code.BadDay {
		t.Errorf("a line after the tail: %v", err)
	}
	if r := traffic.Sum(d.Asks()); r.Asks != 3 || r.Codes["cooling"] != 3 || r.Classes[""].Cooldown != 3 {
		t.Errorf("%+v", r)
	}
}

// TestRecorder checks that a recorder is bounded, reports how many rows it has dropped, and
// holds no text of callers.
func TestRecorder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := traffic.NewRecorder(5)
		add := func() {
			c := &job.Ctx{
				ID:       "j",
				Program:  "p/1",
				Route:    "model",
				Conv:     "reel",
				Key:      "secret-key",
				Prompt:   "secret words",
				AnswerBy: time.Now().Add(time.Second),
				View:     &cluster.View{},
			}
			recorder.Add("e1", "a", c, job.Failure(code.Cooling, "secret"), 20*time.Millisecond)
		}
		for range 3 {
			add()
		}
		time.Sleep(time.Second)
		p := recorder.After(0)
		if p.Next != 3 || p.Lost != 0 || len(p.Rows) != 3 || p.Rows[0].AgeMs != 1020 || p.Rows[0].Words != 12 ||
			p.Rows[0].Wait != 1020 {
			t.Errorf("%+v", p)
		}
		for range 7 {
			add()
		}
		if p = recorder.After(3); p.Next != 10 || p.Lost != 2 || len(p.Rows) != 5 {
			t.Errorf("next %d, lost %d, rows %d", p.Next, p.Lost, len(p.Rows))
		}
		if p = recorder.After(10); len(p.Rows) != 0 {
			t.Errorf("%d rows although none is new", len(p.Rows))
		}
		if p = recorder.After(500); len(p.Rows) != 5 {
			t.Errorf("after a restart %d rows", len(p.Rows))
		}
		var b bytes.Buffer
		w, err := traffic.NewWriter(&b, traffic.Head{})
		if err != nil {
			t.Fatal(err)
		}
		if err := w.Add(recorder.After(9).Rows[0]); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(0); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(b.String(), "secret") {
			t.Errorf("text of a caller in the day file: %s", b.String())
		}
	})
}

// TestSameKeySameBody checks that rows with the same key are replayed with the same body. With
// different bodies, the second request was refused as a key used for another job.
func TestSameKeySameBody(t *testing.T) {
	var mu sync.Mutex
	bodies := map[string]map[string]bool{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		mu.Lock()
		k := q.Header.Get("Idempotency-Key")
		if bodies[k] == nil {
			bodies[k] = map[string]bool{}
		}
		bodies[k][string(b)] = true
		mu.Unlock()
		_, _ = w.Write([]byte(`{"text":"x"}`))
	}))
	defer srv.Close()
	row := traffic.Row{Job: "j", Route: "r", Program: "p", Key: "k", Words: 80, Wait: 5000}
	p := &traffic.Player{
		Day: &traffic.Day{
			Rows: []traffic.Row{row, row, {Job: "j", Route: "r", Program: "p", Key: "other", Words: 80, Wait: 5000}},
		},
		Speed: 1,
		Run:   "run",
		Client: traffic.NewClient(
			nil,
		),
		Edges:  func(string) []string { return []string{strings.TrimPrefix(srv.URL, "http://")} },
		Prompt: func(_ traffic.Row, work string) string { return "work:" + work },
	}
	p.Play(t.Context())
	mu.Lock()
	defer mu.Unlock()
	if len(bodies) != 2 {
		t.Errorf("%d keys, want 2", len(bodies))
	}
	for k, b := range bodies {
		if len(b) != 1 {
			t.Errorf("key %s was sent with %d bodies", k, len(b))
		}
	}
}
