package spec_test

import (
	"fmt"
	"testing"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// TestOperations: an order is known again by its id and content, another under its id is
// told apart, the last ones are remembered and no more, through the cluster's JSON as well.
func TestOperations(t *testing.T) {
	operation := func(i int, content byte) spec.Operation {
		return spec.Operation{ID: fmt.Sprint("order ", i), Digest: spec.OrderDigest{content}}
	}
	c := &spec.Cluster{}
	if taken, err := c.TookOperation(spec.Operation{}); taken || err != nil {
		t.Errorf("an order without an id: %v, %v", taken, err)
	}
	c.RememberOperation(spec.Operation{})
	for i := range 2 * spec.MaxOperations {
		if taken, err := c.TookOperation(operation(i, 1)); taken || err != nil {
			t.Fatalf("order %d before it is taken: %v, %v", i, taken, err)
		}
		c.RememberOperation(operation(i, 1))
		b, err := c.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		c = &spec.Cluster{}
		if err := c.UnmarshalJSON(b); err != nil {
			t.Fatal(err)
		}
		for _, j := range []int{i, max(i-spec.MaxOperations+1, 0)} {
			if taken, err := c.TookOperation(operation(j, 1)); !taken || err != nil {
				t.Fatalf("order %d after %d: %v, %v", j, i, taken, err)
			}
			if _, err := c.TookOperation(operation(j, 2)); code.Of(err) != code.KeyReused {
				t.Fatalf("another order under the id of %d: %v", j, err)
			}
		}
	}
	if taken, _ := c.TookOperation(operation(0, 1)); taken || len(c.OperationLog) > 16*spec.MaxOperations {
		t.Errorf("the first is remembered: %v; %d bytes", taken, len(c.OperationLog))
	}
}
