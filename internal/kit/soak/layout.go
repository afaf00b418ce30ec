package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// The roles of the deploy file.
const (
	roleCore  = "core"
	roleStore = "store"
	roleEdge  = "edge"
)

// The programs of the deploy file.
const (
	controlProgram = "damsontiller-control"
	dataProgram    = "damsontiller-data"
)

// The ports of every machine.
const (
	internalPort  = 7380
	lastPort      = 7395
	frontPort     = 8149
	readinessPort = 8141
	controlPort   = 8144
	platformPort  = 8142
	runnerPort    = 8080
)

var zones = []string{"a", "b", "c", "d"}

// takeNetwork takes a loopback network that no other rig has, for as long as the listener
// that it returns is open.
func takeNetwork() (string, net.Listener, error) {
	for n := 20; n < 250; n++ {
		network := fmt.Sprintf("127.%d", n)
		taken, err := net.Listen("tcp", fmt.Sprintf("%s.200.99:%d", network, platformPort))
		if err == nil {
			return network, taken, nil
		}
	}
	return "", nil, errors.New("no free loopback network")
}

func platformAddr(network string) string { return fmt.Sprintf("%s.200.100:%d", network, platformPort) }

// layOut places the machines of each role over the zones by turns.
func (r *Rig) layOut() {
	for _, role := range []struct {
		name  string
		count int
	}{
		{roleCore, r.params.Cores},
		{roleStore, r.params.Stores},
		{roleEdge, r.params.Edges},
	} {
		for i := range role.count {
			r.fleet.add(r.newMachine(role.name, i%len(zones), i/len(zones)+1))
		}
	}
	var seeds []string
	for _, m := range r.fleet.role(roleCore)[:min(3, r.params.Cores)] {
		seeds = append(seeds, m.addr(controlPort))
	}
	for _, m := range r.fleet.all() {
		m.seeds = seeds
		m.initial = true
	}
}

// firstHosts are the last octets of the first machine of each role in a zone.
var firstHosts = map[string]int{roleCore: 10, roleStore: 50, roleEdge: 100}

// newMachine makes the machine of a role that has a number in a zone, counted from 1.
func (r *Rig) newMachine(role string, zone, number int) *Machine {
	id := fmt.Sprintf("%s-%s-%d", role, zones[zone], number)
	return &Machine{
		ID:       id,
		Role:     role,
		Zone:     zones[zone],
		IP:       fmt.Sprintf("%s.%d.%d", r.net, zone+1, firstHosts[role]+number-1),
		dir:      filepath.Join(r.params.Dir, id),
		bin:      r.params.Bin,
		platform: platformAddr(r.net),
		memoryMB: r.params.memory()[role],
	}
}

// checkPrograms reports whether the programs of the deployment are in a folder.
func checkPrograms(folder string) error {
	for _, name := range []string{controlProgram, dataProgram} {
		if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
			return fmt.Errorf("a program of the deployment is missing: %w", err)
		}
	}
	return nil
}

// settingsText is a settings file as the platform writes it.
const settingsText = `node-name = %q
role = %q
ip = %q
zone = %q
region = "r"
internal-port-range = [%d,%d]
seed-nodes = ["%s"]
initial-start = %t
%s
[zones]
a = "r"
b = "r"
c = "r"
d = "r"
[bind-addresses]
%s
[limits]
memory-mb = %d
disk-mb = 370
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[timing-bounds]
contact-ms = 4000
grace-s = 8
sync-time-s = 6
[platform-api]
address = %q
rate-per-s = 280.0
`

// writeSettings writes the settings file of a machine; it replaces the one before at once.
func (m *Machine) writeSettings(initial bool) error {
	data, bind := fmt.Sprintf("data-directory = %q", filepath.Join(m.dir, "data")), ""
	switch m.Role {
	case roleCore:
		bind = fmt.Sprintf("control = %q", m.addr(controlPort))
	case roleEdge:
		data = ""
		bind = fmt.Sprintf("front = %q\nreadiness = %q", m.addr(frontPort), m.addr(readinessPort))
	}
	text := fmt.Sprintf(settingsText, m.ID, m.Role, m.IP, m.Zone, internalPort, lastPort,
		strings.Join(m.seeds, `","`), initial, data, bind, m.memoryMB, m.platform)
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
		return err
	}
	next := m.settings() + ".new"
	if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(next, m.settings())
}

func (m *Machine) settings() string { return filepath.Join(m.dir, "boot.toml") }

func (m *Machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// command is the program of a role and its arguments.
func (m *Machine) command() (string, []string) {
	if m.Role == roleCore {
		return filepath.Join(m.bin, controlProgram), []string{"serve"}
	}
	return filepath.Join(m.bin, dataProgram), []string{"-role", m.Role}
}
