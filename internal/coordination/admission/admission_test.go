package admission_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/coordination/admission"
	"damsontiller/internal/transport/code"
)

// TestBytes: each class is refused once what is held reaches its share, those before it are
// not, and what is given back is taken again. One call is always taken, however large.
func TestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admission.DefaultParams
		p.MaxBytes = 1000
		c := admission.New(p)
		admit := func(class admission.Class, bytes int64) error { return c.Admit(class, bytes, 0, time.Now()) }
		if err := admit(admission.Bulk, 5000); err != nil {
			t.Errorf("a large call alone: %v", err)
		}
		c.Release(5000)
		for held, refused := range map[int64]string{0: "", 350: "bulk", 550: "requests bulk", 750: "acknowledgements requests bulk"} {
			if err := admit(admission.Control, held); err != nil {
				t.Fatal(err)
			}
			got := ""
			for _, class := range admission.Classes() {
				err := admit(class, 100)
				if err == nil {
					c.Release(100)
					continue
				}
				if code.Of(err) != code.Overloaded || code.RetryAfter(err) <= 0 {
					t.Errorf("%v", err)
				}
				got += " " + class.String()
			}
			if got != "" && got[1:] != refused || got == "" && refused != "" {
				t.Errorf("%d held: refused are%s, want %s", held, got, refused)
			}
			c.Release(held)
		}
		if s := c.Status(); s.HeldBytes != 0 {
			t.Errorf("%d bytes are held at the end", s.HeldBytes)
		}
	})
}

// TestStandingWait: a class is refused while the least wait of a window is above its target,
// not for a burst; control never; and it is taken again a window after the queue is gone.
func TestStandingWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.New(admission.DefaultParams)
		// play lets a call of control come each 10 ms and tells which classes are taken.
		play := func(span time.Duration, wait func(i int) time.Duration) string {
			i := 0
			for end := time.Now().Add(span); time.Now().Before(end); i++ {
				if err := c.Admit(admission.Control, 1, wait(i), time.Now()); err != nil {
					t.Fatalf("control: %v", err)
				}
				c.Release(1)
				time.Sleep(10 * time.Millisecond)
			}
			taken := ""
			for _, class := range admission.Classes() {
				if c.Admit(class, 1, wait(0), time.Now()) == nil {
					c.Release(1)
					taken += fmt.Sprint(" ", class)
				}
			}
			return taken
		}
		constant := func(wait time.Duration) func(int) time.Duration { return func(int) time.Duration { return wait } }
		all := " control acknowledgements requests bulk"
		for _, step := range []struct {
			name string
			span time.Duration
			wait func(int) time.Duration
			want string
		}{
			{"no queue", time.Second, constant(time.Millisecond), all},
			{"one call in ten waits long", time.Second, func(i int) time.Duration { return time.Duration(i%10/9) * time.Second }, all},
			{"a short queue", time.Second, constant(30 * time.Millisecond), " control acknowledgements requests"},
			{"a queue", time.Second, constant(100 * time.Millisecond), " control acknowledgements"},
			{"a long queue", time.Second, constant(time.Second), " control"},
			{"gone for two windows", 210 * time.Millisecond, constant(time.Millisecond), all},
		} {
			if got := play(step.span, step.wait); got != step.want {
				t.Errorf("%s: taken are%s, want%s", step.name, got, step.want)
			}
		}
		play(time.Second, constant(time.Second))
		time.Sleep(300 * time.Millisecond)
		if err := c.Admit(admission.Bulk, 1, 0, time.Now()); err != nil {
			t.Errorf("after a silence: %v", err)
		}
	})
}
