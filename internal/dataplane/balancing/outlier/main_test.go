package outlier

import (
	"testing"

	"damsontiller/internal/transport/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m, 100) }
