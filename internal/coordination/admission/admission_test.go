package admission_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/coordination/admission"
	"damsontiller/internal/transport/code"
)

// TestBytes checks that a class is rejected once the held bytes reach its share, that classes
// of higher priority are still admitted, and that released bytes can be used again. A single
// call is always admitted, however large it is.
func TestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		params := admission.DefaultParams
		params.MaxBytes = 1000
		controller := admission.New(params)
		admit := func(class admission.Class, bytes int64) error { return controller.Admit(class, bytes, 0, time.Now()) }
		if err := admit(admission.Bulk, 5000); err != nil {
			t.Errorf("a large call alone: %v", err)
		}
		controller.Release(5000)
		for held, rejected := range map[int64]string{0: "", 350: "bulk", 550: "requests bulk", 750: "acknowledgements requests bulk"} {
			if err := admit(admission.Control, held); err != nil {
				t.Fatal(err)
			}
			got := ""
			for _, class := range admission.Classes() {
				err := admit(class, 100)
				if err == nil {
					controller.Release(100)
					continue
				}
				if code.Of(err) != code.Overloaded || code.RetryAfter(err) <= 0 {
					t.Errorf("%v", err)
				}
				got += " " + class.String()
			}
			if got != "" && got[1:] != rejected || got == "" && rejected != "" {
				t.Errorf("%d bytes held: rejected classes are%s, want %s", held, got, rejected)
			}
			controller.Release(held)
		}
		if s := controller.Status(); s.HeldBytes != 0 {
			t.Errorf("%d bytes are held at the end", s.HeldBytes)
		}
	})
}

// TestStandingWait checks that a class is rejected while the minimum wait of a window is above
// its target, but not because of a burst; that control is never rejected; and that a class is
// admitted again one window after the queue has drained.
func TestStandingWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := admission.New(admission.DefaultParams)
		// play sends a control call every 10 ms and reports which classes are admitted at the
		// end.
		play := func(span time.Duration, wait func(i int) time.Duration) string {
			i := 0
			for end := time.Now().Add(span); time.Now().Before(end); i++ {
				if err := controller.Admit(admission.Control, 1, wait(i), time.Now()); err != nil {
					t.Fatalf("control: %v", err)
				}
				controller.Release(1)
				time.Sleep(10 * time.Millisecond)
			}
			admitted := ""
			for _, class := range admission.Classes() {
				if controller.Admit(class, 1, wait(0), time.Now()) == nil {
					controller.Release(1)
					admitted += fmt.Sprint(" ", class)
				}
			}
			return admitted
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
			{"no queue for two windows", 210 * time.Millisecond, constant(time.Millisecond), all},
		} {
			if got := play(step.span, step.wait); got != step.want {
				t.Errorf("%s: admitted classes are%s, want%s", step.name, got, step.want)
			}
		}
		play(time.Second, constant(time.Second))
		time.Sleep(300 * time.Millisecond)
		if err := controller.Admit(admission.Bulk, 1, 0, time.Now()); err != nil {
			t.Errorf("after a time without calls: %v", err)
		}
	})
}
