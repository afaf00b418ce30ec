// Package traffic records and replays traffic: what an edge remembers of the jobs it
// answered, the day file, and the replay of one against a fleet. A row holds no text of
// any caller, only its length.
package traffic

import (
	"bufio"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"sync"
	"time"

	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/transport/code"
)

// Format is the day file's version.
const Format = 1

// Row is one job. Times are milliseconds; T is from the start of the day.
type Row struct {
	T         int64    `json:"t"`
	AgeMs     int64    `json:"age,omitempty"` // since its arrival, where an edge hands it out
	Edge      string   `json:"edge"`
	Zone      string   `json:"zone"`
	Job       string   `json:"job"`
	Turn      bool     `json:"turn,omitempty"`
	Follows   string   `json:"follows,omitempty"` // job of the turn followed
	Route     string   `json:"route"`
	Program   string   `json:"program"`
	Class     string   `json:"class,omitempty"`
	Conv      string   `json:"conv,omitempty"`
	Key       string   `json:"key,omitempty"` // a digest of the caller's key
	Parts     []string `json:"parts,omitempty"`
	Words     int      `json:"words"`
	Most      int64    `json:"most,omitempty"`
	Wait      int64    `json:"wait"` // time allowed at arrival
	Code      int      `json:"code"`
	Took      int64    `json:"took"`
	Queued    int64    `json:"queued"` // until it was passed
	Output    int64    `json:"output,omitempty"`
	PrefixHit bool     `json:"held,omitempty"`
	Runner    string   `json:"runner,omitempty"`
}

// Recorder is an edge's bounded memory of its last rows.
type Recorder struct {
	mu       sync.Mutex
	rows     []Row
	at       []time.Time // arrival of each
	next     int         // number of the next row
	capacity int
}

// NewRecorder remembers up to most rows.
func NewRecorder(most int) *Recorder { return &Recorder{capacity: most} }

// Add remembers one answered job.
func (recorder *Recorder) Add(edge, zone string, c *job.Ctx, a job.Answer, took time.Duration) {
	now := time.Now()
	r := Row{
		Edge:      edge,
		Zone:      zone,
		Job:       c.ID,
		Turn:      c.Conv != "",
		Follows:   c.Follows,
		Route:     c.Route,
		Program:   c.Program,
		Class:     c.Class,
		Conv:      c.Conv,
		Parts:     c.Parts,
		Words:     len(c.Prompt),
		Most:      c.RequestedOutput,
		Wait:      (c.Left() + took).Milliseconds(),
		Code:      int(code.Of(a.Err)),
		Took:      took.Milliseconds(),
		Output:    c.Spent,
		PrefixHit: c.PrefixHit,
		Runner:    c.Runner.Name,
	}
	if c.Key != "" {
		sum := sha256.Sum256([]byte(c.Key))
		r.Key = hex.EncodeToString(sum[:8])
	}
	if !c.Passed.IsZero() {
		r.Queued = (took - now.Sub(c.Passed)).Milliseconds()
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.rows, recorder.at = append(recorder.rows, r), append(recorder.at, now.Add(-took))
	recorder.next++
	if n := len(recorder.rows) - recorder.capacity; n > 0 {
		recorder.rows, recorder.at = append(
			[]Row(nil),
			recorder.rows[n:]...), append(
			[]time.Time(nil),
			recorder.at[n:]...)
	}
}

// Chunk is what an edge hands out of its recorder.
type Chunk struct {
	Next int   `json:"next"`
	Lost int   `json:"lost"` // rows that were forgotten before they were asked for
	Rows []Row `json:"rows"`
}

// After gives the rows from number n on, with their ages: no clock of one
// machine is compared with another's.
func (recorder *Recorder) After(n int) Chunk {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	first := recorder.next - len(recorder.rows)
	p := Chunk{Next: recorder.next}
	// A number from an earlier start of the edge means all there is.
	if n > recorder.next {
		n = first
	}
	if n < first {
		p.Lost, n = first-n, first
	}
	for i := n - first; i < len(recorder.rows); i++ {
		r := recorder.rows[i]
		r.AgeMs = time.Since(recorder.at[i]).Milliseconds()
		p.Rows = append(p.Rows, r)
	}
	return p
}

// Head is a day file's first line, Tail its last.
type Head struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	Spec   uint64 `json:"spec"`
	Start  string `json:"start"`
}

// Tail tells an entire file from a truncated one.
type Tail struct {
	End  bool   `json:"end"`
	Rows int    `json:"rows"`
	Sum  string `json:"sum"`
	Lost int    `json:"lost"`
}

// Writer writes a day file.
type Writer struct {
	w    *bufio.Writer
	sum  hash.Hash
	rows int
}

// NewWriter begins a day file.
func NewWriter(w io.Writer, h Head) (*Writer, error) {
	d := &Writer{w: bufio.NewWriter(w), sum: sha256.New()}
	h.Format = Format
	return d, d.writeLine(h)
}

func (d *Writer) writeLine(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b = append(b, '\n')
	d.sum.Write(b)
	_, err = d.w.Write(b)
	return err
}

// Add writes a row.
func (d *Writer) Add(r Row) error {
	d.rows++
	return d.writeLine(r)
}

// Close ends the file.
func (d *Writer) Close(lost int) error {
	b, err := json.Marshal(Tail{true, d.rows, hex.EncodeToString(d.sum.Sum(nil)), lost})
	if err != nil {
		return err
	}
	if _, err := d.w.Write(append(b, '\n')); err != nil {
		return err
	}
	return d.w.Flush()
}

// Day is a day file as read.
type Day struct {
	Head
	Rows []Row
	Sum  string // names the day
	Lost int
}

func bad(line int, format string, a ...any) error {
	return code.New(code.BadDay, "line %d: %s", line, fmt.Sprintf(format, a...))
}

// Read reads an entire day file. One that is truncated or changed is refused,
// and the line is named.
func Read(r io.Reader) (*Day, error) {
	in := bufio.NewReader(r)
	// A day may be kept gzipped.
	if b, err := in.Peek(2); err == nil && b[0] == 0x1f && b[1] == 0x8b {
		z, err := gzip.NewReader(in)
		if err != nil {
			return nil, code.New(code.BadDay, "%w", err)
		}
		in = bufio.NewReader(z)
	}
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, 1<<20)
	d := &Day{}
	sum := sha256.New()
	n := 0
	for sc.Scan() {
		n++
		b := sc.Bytes()
		if n == 1 {
			if err := json.Unmarshal(b, &d.Head); err != nil || d.Format == 0 {
				return nil, bad(n, "not the head of a day file")
			}
			if d.Format != Format {
				return nil, bad(n, "format %d, this program reads %d", d.Format, Format)
			}
		} else {
			var t Tail
			if err := json.Unmarshal(b, &t); err == nil && t.End {
				d.Sum, d.Lost = hex.EncodeToString(sum.Sum(nil)), t.Lost
				if t.Rows != len(d.Rows) || t.Sum != d.Sum {
					const text = "%d rows and digest %.8s, the file holds %d and %.8s"
					return nil, bad(n, text, t.Rows, t.Sum, len(d.Rows), d.Sum)
				}
				if sc.Scan() {
					return nil, bad(n+1, "something follows the end")
				}
				return d, nil
			}
			var r Row
			if err := json.Unmarshal(b, &r); err != nil {
				return nil, bad(n, "%v", err)
			}
			if r.Job == "" || r.Route == "" || r.Program == "" || r.T < 0 {
				return nil, bad(n, "a row without job, route, program or time")
			}
			d.Rows = append(d.Rows, r)
		}
		sum.Write(b)
		sum.Write([]byte{'\n'})
	}
	if err := sc.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, bad(n+1, "longer than %d bytes", 1<<20)
		}
		return nil, code.New(code.BadDay, "%w", err)
	}
	return nil, bad(n, "the file ends without its last line")
}
