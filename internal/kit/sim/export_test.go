package sim

import "github.com/cockroachdb/pebble/v2/vfs"

// FS is a machine's disk.
func (s *Sim) FS(id string) *vfs.MemFS { return s.Get(id).fs }

// Restore gives a machine that does not run a disk as it was before.
func (s *Sim) Restore(id string, fs *vfs.MemFS) { s.Get(id).fs = fs }
