package control

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport/code"
)

// TestManyObjects guards against configurations that take many times their size once decoded.
func TestManyObjects(t *testing.T) {
	for _, list := range []string{"routes", "services", "subscribers"} {
		b := []byte(`{"revision":1,"` + list + `":[` + strings.Repeat("{},", maxObjects) + `{}]}`)
		if _, err := Whole(b); code.Of(err) != code.TooLarge {
			t.Errorf("%s, whole: %v", list, err)
		}
		if _, _, err := Patch(b); code.Of(err) != code.TooLarge {
			t.Errorf("%s, in part: %v", list, err)
		}
	}
}

// TestDecodeTurns checks that no more configurations are decoded at once than the memory bears, and
// that one more waits for a moment.
func TestDecodeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &Handler{}
		for range maxDecoding {
			if !o.beginDecode(t.Context()) {
				t.Fatal("the first ones wait")
			}
		}
		if o.beginDecode(t.Context()) {
			t.Error("one too many")
		}
		time.AfterFunc(100*time.Millisecond, func() { o.decoding.Add(-1) })
		if !o.beginDecode(t.Context()) {
			t.Error("not let in after another one had ended")
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if o.beginDecode(ctx) || o.decoding.Load() != maxDecoding {
			t.Errorf("%d are counted", o.decoding.Load())
		}
	})
}
