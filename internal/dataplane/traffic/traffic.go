// Package traffic records and replays traffic: the in-memory record of an edge's answered
// jobs, the day file that collects those of all edges, and the replay of a day file against a
// fleet. A row holds the length of a caller's text, never the text.
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

// Format is the version of the day file format.
const Format = 1

// maxLineBytes is the largest length of a line of a day file.
const maxLineBytes = 1 << 20

// Row is the record of one job. Times are in milliseconds; T is its arrival, counted from the
// start of the day.
type Row struct {
	T         int64    `json:"t"`
	AgeMs     int64    `json:"age,omitempty"` // time since arrival, in an edge's answer only
	Edge      string   `json:"edge"`
	Zone      string   `json:"zone"`
	Job       string   `json:"job"`
	Turn      bool     `json:"turn,omitempty"`
	Follows   string   `json:"follows,omitempty"` // job ID of the preceding turn
	Route     string   `json:"route"`
	Program   string   `json:"program"`
	Class     string   `json:"class,omitempty"`
	Conv      string   `json:"conv,omitempty"`
	Key       string   `json:"key,omitempty"` // a digest of the caller's key
	Parts     []string `json:"parts,omitempty"`
	Words     int      `json:"words"`          // length of the caller's text in bytes
	Most      int64    `json:"most,omitempty"` // output limit requested
	Wait      int64    `json:"wait"`           // time allowed at arrival
	Code      int      `json:"code"`
	Took      int64    `json:"took"`
	Queued    int64    `json:"queued"` // time until it was forwarded to a runner
	Output    int64    `json:"output,omitempty"`
	PrefixHit bool     `json:"held,omitempty"`
	Runner    string   `json:"runner,omitempty"`
}

// Recorder is the bounded in-memory record of an edge's last jobs.
type Recorder struct {
	mu       sync.Mutex
	rows     []Row
	arrivals []time.Time // arrival time of each row
	next     int         // sequence number of the next row
	capacity int
}

// NewRecorder returns a Recorder of the given capacity in rows.
func NewRecorder(capacity int) *Recorder { return &Recorder{capacity: capacity} }

// Add records an answered job.
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
	if !c.ForwardedAt.IsZero() {
		r.Queued = (took - now.Sub(c.ForwardedAt)).Milliseconds()
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.rows, recorder.arrivals = append(recorder.rows, r), append(recorder.arrivals, now.Add(-took))
	recorder.next++
	if n := len(recorder.rows) - recorder.capacity; n > 0 {
		recorder.rows, recorder.arrivals = append(
			[]Row(nil),
			recorder.rows[n:]...), append(
			[]time.Time(nil),
			recorder.arrivals[n:]...)
	}
}

// Chunk is a range of a recorder's rows.
type Chunk struct {
	Next int   `json:"next"`
	Lost int   `json:"lost"` // rows that were dropped before they were requested
	Rows []Row `json:"rows"`
}

// After returns the rows from sequence number n on, with their ages instead of times, so that
// the clocks of two machines are never compared.
func (recorder *Recorder) After(n int) Chunk {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	first := recorder.next - len(recorder.rows)
	chunk := Chunk{Next: recorder.next}
	// A sequence number from before a restart of the edge returns all rows.
	if n > recorder.next {
		n = first
	}
	if n < first {
		chunk.Lost, n = first-n, first
	}
	for i := n - first; i < len(recorder.rows); i++ {
		r := recorder.rows[i]
		r.AgeMs = time.Since(recorder.arrivals[i]).Milliseconds()
		chunk.Rows = append(chunk.Rows, r)
	}
	return chunk
}

// Head is the first line of a day file.
type Head struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	Spec   uint64 `json:"spec"`
	Start  string `json:"start"`
}

// Tail is the last line of a day file. It distinguishes a complete file from a truncated one.
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

// NewWriter starts a day file by writing its head.
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

// Close completes the file by writing its tail.
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

// Day is the content of a day file.
type Day struct {
	Head
	Rows []Row
	Sum  string // digest of the lines before the tail; identifies the day
	Lost int
}

// badDay returns the error for an invalid line.
func badDay(line int, format string, a ...any) error {
	return code.New(code.BadDay, "line %d: %s", line, fmt.Sprintf(format, a...))
}

// Read reads a day file, plain or gzipped. If the file is truncated or was modified, the error
// names the line.
func Read(r io.Reader) (*Day, error) {
	in := bufio.NewReader(r)
	// The magic number of gzip.
	if b, err := in.Peek(2); err == nil && b[0] == 0x1f && b[1] == 0x8b {
		z, err := gzip.NewReader(in)
		if err != nil {
			return nil, code.New(code.BadDay, "%w", err)
		}
		in = bufio.NewReader(z)
	}
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, maxLineBytes)
	d := &Day{}
	sum := sha256.New()
	n := 0
	for sc.Scan() {
		n++
		b := sc.Bytes()
		if n == 1 {
			if err := json.Unmarshal(b, &d.Head); err != nil || d.Format == 0 {
				return nil, badDay(n, "not the head of a day file")
			}
			if d.Format != Format {
				return nil, badDay(n, "format %d, this program reads %d", d.Format, Format)
			}
		} else {
			var t Tail
			if err := json.Unmarshal(b, &t); err == nil && t.End {
				d.Sum, d.Lost = hex.EncodeToString(sum.Sum(nil)), t.Lost
				if t.Rows != len(d.Rows) || t.Sum != d.Sum {
					const text = "%d rows and digest %.8s, the file holds %d and %.8s"
					return nil, badDay(n, text, t.Rows, t.Sum, len(d.Rows), d.Sum)
				}
				if sc.Scan() {
					return nil, badDay(n+1, "something follows the end")
				}
				return d, nil
			}
			var r Row
			if err := json.Unmarshal(b, &r); err != nil {
				return nil, badDay(n, "%v", err)
			}
			if r.Job == "" || r.Route == "" || r.Program == "" || r.T < 0 {
				return nil, badDay(n, "a row without job, route, program or time")
			}
			d.Rows = append(d.Rows, r)
		}
		sum.Write(b)
		sum.Write([]byte{'\n'})
	}
	if err := sc.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, badDay(n+1, "longer than %d bytes", maxLineBytes)
		}
		return nil, code.New(code.BadDay, "%w", err)
	}
	return nil, badDay(n, "the file ends without its last line")
}
