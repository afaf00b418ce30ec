package keys

import "testing"

// TestSpelling: keys are stored, so no release may spell them otherwise.
func TestSpelling(t *testing.T) {
	tests := []struct{ got, want string }{
		{Claim("reel/1", "k1"), "claim/reel/1/k1"},
		{Budget("reel/1"), "purse/reel/1"},
		{ProxyBudget("p"), "purse/raw/p"},
		{Singleton(AssignerRole), "duty/deal"},
		{Turn("e1-x-1"), "turn/e1-x-1"},
		{CooldownPrefix, "cool/"},
		{SpecTopic, "spec"},
		{CooldownTopic, "cool"},
	}
	for _, tc := range tests {
		if tc.got != tc.want {
			t.Errorf("%q, want %q", tc.got, tc.want)
		}
	}
}
