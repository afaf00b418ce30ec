package keys

import "testing"

// TestSpelling checks the spelling of keys and topics. They are stored and sent, so no
// release may change them.
func TestSpelling(t *testing.T) {
	tests := []struct{ got, want string }{
		{Claim("reel/1", "k1"), "claim/reel/1/k1"},
		{Budget("reel/1"), "purse/reel/1"},
		{ProxyBudget("", "p"), "purse/raw/p"},
		{ProxyBudget("north", "p"), "purse/tenant/f2a9e75860cec1db8415664aeb5d629a/p"},
		{ProxyTurn("", "t"), "turn/t"},
		{ProxyTurn("north", "t"), "tenant-turn/f2a9e75860cec1db8415664aeb5d629a/t"},
		{Operation("north", "k"), "op/9985b8500eaac157a79895b09e347944"},
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
