package controller

import (
	"cmp"
	"maps"
	"net/url"
	"strconv"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// listPageSize is how many machines a page of the cloud's list may have.
	listPageSize = 500
	// minListInterval is the least time between two readings of the list.
	minListInterval = 2 * micros.Second
	// unclaimedLagFactor is how many times the list's usual lag a machine must be listed without
	// an owner to be taken for nobody's: the list may be twice its lag late.
	unclaimedLagFactor = 3
)

// cloudList is a reading of the cloud's list, page by page.
type cloudList struct {
	inProgress bool
	nextAt     micros.Micros
	machines   map[string]wire.ListedMachine
}

// tickCloudList begins a reading of the cloud's list when it is time.
func (o *owner) tickCloudList() {
	l := &o.cloudListing
	if l.inProgress || o.c.now < l.nextAt || !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	l.inProgress, l.machines = true, map[string]wire.ListedMachine{}
	o.requestCloudListPage("")
}

// requestCloudListPage asks for the machines after one of that name.
func (o *owner) requestCloudListPage(after string) {
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("after", after)
	}
	o.c.callCloud("GET", pathRentals+"?"+query.Encode(), nil, func(status int, body []byte) {
		if !o.superseded() {
			o.handleCloudListPage(status, body)
		}
	})
}

// handleCloudListPage takes one page of the list. A reading that fails is dropped.
func (o *owner) handleCloudListPage(status wire.Status, body []byte) {
	l := &o.cloudListing
	l.nextAt = o.c.now + max(o.c.cfg.CloudListLag, minListInterval)
	var page wire.MachineList
	if status != wire.StatusOK || wire.Decode(body, &page) != nil {
		l.inProgress = false
		return
	}
	for _, m := range page.Machines {
		l.machines[m.Name] = m
	}
	if page.More && len(page.Machines) > 0 {
		o.requestCloudListPage(page.Machines[len(page.Machines)-1].Name)
		return
	}
	l.inProgress = false
	o.applyCloudList(l.machines)
}

// IsUnclaimed tells whether a listed machine belongs to nobody. The list may be twice its
// usual lag late, so it still shows machines that another owner has returned: a machine
// must stay listed for longer than that.
func (o *owner) isUnclaimed(name string) bool {
	if o.recentlyTerminated[name] != 0 || o.ownedElsewhere[name] != 0 || o.c.claimant(name) != "" ||
		o.c.cluster.FirstOwner() != o.c.cfg.Node {
		return false
	}
	if o.unclaimedSince[name] == 0 {
		o.unclaimedSince[name] = o.c.now
	}
	return o.c.now-o.unclaimedSince[name] > unclaimedLagFactor*o.c.cfg.CloudListLag
}

// applyCloudList takes what the cloud lists, and adopts machines that nobody owns.
func (o *owner) applyCloudList(found map[string]wire.ListedMachine) {
	for _, name := range ordered.Keys(found) {
		o.applyListedMachine(found[name])
	}
	maps.DeleteFunc(o.unclaimedSince, func(name string, _ micros.Micros) bool {
		_, listed := found[name]
		return !listed
	})
	for name, m := range o.Machines {
		if _, listed := found[name]; !listed && m.CloudListed {
			m.MissedListings++
		}
	}
}

// applyListedMachine takes what the cloud lists of one machine.
func (o *owner) applyListedMachine(entry wire.ListedMachine) {
	m := o.Machines[entry.Name]
	if m == nil {
		if !o.isUnclaimed(entry.Name) {
			return
		}
		m = o.adopt(inventory.MachineInfo{
			Name: entry.Name, Type: entry.Type, Zone: entry.Zone, Spot: entry.Spot, Endpoint: entry.Endpoint,
		})
		m.ProvisionedAt = o.c.wallClock - micros.FromSeconds(entry.AgeS)
	}
	m.CloudListed, m.MissedListings = true, 0
	m.Failed = entry.Status == wire.ListFailed
	m.Endpoint = cmp.Or(m.Endpoint, entry.Endpoint)
}
