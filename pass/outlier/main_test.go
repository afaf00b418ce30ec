package outlier

import (
	"testing"

	"damsontiller/xport/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m, 100) }
