package sim

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// membershipFaults change which machines there are.
var membershipFaults = []Fault{
	{"replace_core", Counted, func(d *Draw) { d.replace(d.role(), false) }},
	{"replace_core/planned", Counted, func(d *Draw) { d.replace(d.role(), true) }},
	{"add_nodes", Counted, func(d *Draw) { d.add(d.role()) }},
	{"retire", Counted, func(d *Draw) { d.retire(false) }},
	{"retire/wipe", Counted, func(d *Draw) { d.retire(true) }},
}

// mostOfRole bounds how many machines of a role are added.
const mostOfRole = 5

// role draws one of those whose loss is counted.
func (d *Draw) role() string { return []string{"core", "store"}[d.Rand.IntN(2)] }

// replace has a machine go for good; an empty one comes at another address. Planned:
// the new one comes first.
func (d *Draw) replace(role string, planned bool) {
	old := d.member(role)
	defer d.claim(old)()
	newcomer, ok := d.spare(role)
	if !ok {
		return
	}
	d.record("%s comes for %s, planned %t", newcomer, old, planned)
	if !planned {
		d.powerOff(old)
		d.retireFromUse(old)
		d.wait(100*time.Millisecond, 3*time.Second)
	}
	d.up(newcomer)
	if planned {
		time.Sleep(SyncTime)
		d.Sim.KillProcess(old)
		d.retireFromUse(old)
	}
	d.nameSeeds()
}

// nameSeeds lets machines that start from now on find those that are there.
func (d *Draw) nameSeeds() {
	cores := d.members("core")
	d.Sim.Seeds(cores[len(cores)-3:]...)
}

func (d *Draw) add(role string) {
	if len(d.members(role)) >= mostOfRole {
		return
	}
	if id, ok := d.spare(role); ok {
		d.record("%s is added", id)
		d.up(id)
		d.nameSeeds()
	}
}

// retire adds a store, has another emptied and removed, and takes it away once it is;
// wipe: another loses its disk right after.
func (d *Draw) retire(wipe bool) {
	d.add("store")
	time.Sleep(SyncTime)
	stores := d.members("store")
	if len(stores) <= 3 {
		return
	}
	id := d.member("store")
	defer d.claim(id)()
	d.record("%s is to go", id)
	if !d.orderRetire(id) {
		return
	}
	d.Sim.KillProcess(id)
	d.retireFromUse(id)
	if !wipe {
		return
	}
	time.Sleep(d.between(0, 50*time.Millisecond))
	other := d.member("store")
	defer d.claim(other)()
	d.record("%s loses its disk right after", other)
	d.crash(d.powerOff, other, true)
	d.wait(100*time.Millisecond, 2*time.Second)
	d.up(other)
}

// orderRetire sends the order until it is taken, and asks until the store is empty.
func (d *Draw) orderRetire(id string) bool {
	taken := false
	for end := time.Now().Add(operatorGivesUp); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		core := d.member("core")
		method, path := http.MethodPost, "/v1/retire/"+id+"/initiate"
		if taken {
			method, path = http.MethodGet, "/v1/retire/"+id+"/retrieve"
		}
		status, body, err := d.Config.call(core, method, path, "", `{"deadline-s":10}`)
		switch r := replyOf(status, err); {
		case r == Taken && taken && strings.Contains(string(body), "completed"):
			return true
		case r == Taken:
			taken = true
		case r != Unclear && taken:
			d.fail("%s: %s after it was taken: %d %s", core, path, status, body)
			return false
		case r != Unclear:
			live := []string{}
			for _, s := range d.members("store") {
				live = append(live, fmt.Sprint(s, " ", d.Sim.Ident(s) != ""))
			}
			slices.Sort(live)
			d.fail("%s refuses that %s goes, with %v: %d %s", core, id, live, status, body)
			return false
		}
	}
	d.fail("%s is not empty after %s, order taken %t", id, operatorGivesUp, taken)
	return false
}
