package scale

import (
	"bufio"
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// use is what a process has used so far, by the system's own count.
type use struct {
	cpu  time.Duration
	rss  uint64 // bytes, now
	peak uint64 // bytes, at the most
	anon uint64 // bytes, now, without the program's own file
	io   uint64 // bytes read and written by system calls, sockets and files together
	fds  int
}

// tick is the unit of processor time in /proc; Linux fixes it for programs.
const tick = 10 * time.Millisecond

// usage reads what a process has used.
func usage(pid int) (use, error) {
	var u use
	dir := fmt.Sprintf("/proc/%d/", pid)
	b, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The name, in brackets, may hold blanks.
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	if len(f) < 18 {
		return u, fmt.Errorf("%sstat: %d fields", dir, len(f))
	}
	var n [2]int64
	for i := range n {
		if n[i], err = strconv.ParseInt(f[11+i], 10, 64); err != nil {
			return u, err
		}
	}
	u.cpu = time.Duration(n[0]+n[1]) * tick
	st, err := fields(dir + "status")
	if err != nil {
		return u, err
	}
	u.rss, u.peak, u.anon = st["VmRSS"]<<10, st["VmHWM"]<<10, st["RssAnon"]<<10
	rw, err := fields(dir + "io")
	if err != nil {
		return u, err
	}
	u.io = rw["rchar"] + rw["wchar"]
	if l, err := os.ReadDir(dir + "fd"); err == nil {
		u.fds = len(l)
	}
	return u, nil
}

// fields reads lines of a name, a colon and a number.
func fields(file string) (map[string]uint64, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	out := map[string]uint64{}
	for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
		k, v, _ := strings.Cut(s.Text(), ":")
		if w := strings.Fields(v); len(w) > 0 {
			if n, err := strconv.ParseUint(w[0], 10, 64); err == nil {
				out[k] = n
			}
		}
	}
	return out, nil
}

// folder adds up the files below dir.
func folder(dir string) (n int64) {
	_ = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if i, err := d.Info(); err == nil {
				n += i.Size()
			}
		}
		return nil
	})
	return n
}

// Machine is what there is to run on.
type Machine struct {
	Memory uint64 // bytes
	Files  uint64 // descriptors that one process may have
}

// Here reads this machine's.
func Here() (Machine, error) {
	f, err := fields("/proc/meminfo")
	if err != nil {
		return Machine{}, err
	}
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return Machine{}, err
	}
	return Machine{Memory: f["MemTotal"] << 10, Files: l.Cur}, nil
}
