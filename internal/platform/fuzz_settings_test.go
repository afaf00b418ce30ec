package platform

import "testing"

// FuzzSettings checks that any settings file is either rejected or gives values that every role can
// use.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(settings))
	f.Add([]byte("node-name = 1"))
	f.Add([]byte(settings + "\n[later]\nnew = [1, \"x\"]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := parse("boot.toml", string(b))
		if err != nil {
			return
		}
		for _, role := range []string{"core", "store", "edge"} {
			_ = p.CheckRole(role)
		}
		if p.ContactTimeout() <= 0 || p.Grace() <= 0 || Ms(p.Bounds.SyncS*1000) <= 0 {
			t.Errorf("contact %s, grace %s, sync %v", p.ContactTimeout(), p.Grace(), p.Bounds.SyncS)
		}
		if n := p.ReplicationFactor(); n < 1 || n%2 == 0 {
			t.Errorf("replication factor %d", n)
		}
		if !(p.Platform.RatePerS > 0) || p.MinFreeMiB() < 0 {
			t.Errorf("rate %v, minimum free disk %d MiB", p.Platform.RatePerS, p.MinFreeMiB())
		}
		if p.ListenAddr() == p.StatusAddr() || len(p.Peers()) != len(p.Seeds) || len(p.ZoneList()) == 0 {
			t.Errorf(
				"listen address %s, status address %s, %d peers of %d seeds",
				p.ListenAddr(),
				p.StatusAddr(),
				len(p.Peers()),
				len(p.Seeds),
			)
		}
	})
}
