package controller

import (
	"cmp"
	"maps"
	"net/url"
	"strconv"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// cloudList is a reading of the cloud's list, page by page.
type cloudList struct {
	asking bool
	next   micros.Micros
	found  map[string]wire.ListedMachine
}

func (o *owner) tickList() {
	l := &o.listing
	if l.asking || o.c.now < l.next || !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	l.asking, l.found = true, map[string]wire.ListedMachine{}
	o.listPage("")
}

func (o *owner) listPage(after string) {
	q := url.Values{"limit": {strconv.Itoa(500)}}
	if after != "" {
		q.Set("after", after)
	}
	l := &o.listing
	o.c.cloud("GET", wire.PathRentals+"?"+q.Encode(), nil, func(status int, body []byte) {
		if o.superseded() {
			return
		}
		var page wire.MachineList
		l.next = o.c.now + max(o.c.cfg.ListLag, 2*micros.Second)
		if status != 200 || wire.Decode(body, &page) != nil {
			l.asking = false
			return
		}
		for _, m := range page.Machines {
			l.found[m.Name] = m
		}
		if page.More && len(page.Machines) > 0 {
			o.listPage(page.Machines[len(page.Machines)-1].Name)
			return
		}
		l.asking = false
		o.takeList(l.found)
	})
}

// unexpected tells whether a listed machine belongs to nobody. The list may be twice its
// usual lag late, so it still shows machines that another owner has returned: a machine
// must stay listed for longer than that.
func (o *owner) unexpected(name string) bool {
	if o.recentlyReturned[name] != 0 || o.ownedElsewhere[name] != 0 || o.c.claimant(name) != "" || o.c.cluster.FirstOwner() != o.c.cfg.Node {
		return false
	}
	if o.unclaimed[name] == 0 {
		o.unclaimed[name] = o.c.now
	}
	return o.c.now-o.unclaimed[name] > 3*o.c.cfg.ListLag
}

func (o *owner) takeList(found map[string]wire.ListedMachine) {
	for _, name := range sortedKeys(found) {
		e := found[name]
		m := o.machines[name]
		if m == nil {
			if !o.unexpected(name) {
				continue
			}
			m = o.adopt(e.Name, e.Type, e.Zone, e.Spot, e.Endpoint)
			m.rented = o.c.wallClock - micros.FromSeconds(e.AgeS)
		}
		m.listed, m.unlisted = true, 0
		m.failed = e.Status == wire.ListFailed
		m.endpoint = cmp.Or(m.endpoint, e.Endpoint)
	}
	maps.DeleteFunc(o.unclaimed, func(name string, _ micros.Micros) bool {
		_, ok := found[name]
		return !ok
	})
	for name, m := range o.machines {
		if _, ok := found[name]; !ok && m.listed {
			m.unlisted++
		}
	}
}
