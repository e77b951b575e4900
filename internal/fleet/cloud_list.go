package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"strconv"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// listPageSize is the maximum number of machines on a page of the cloud's list.
	listPageSize = 500
	// minListInterval is the minimum time from the end of one reading of the list to the start of
	// the next.
	minListInterval = 2 * micros.Second
	// orphanLagFactor is the time for which a machine must be listed without an owner before it
	// counts as orphaned, as a multiple of the list's usual lag. It exceeds 2 because the list may
	// be out of date by twice that lag.
	orphanLagFactor = 3
)

// cloudList is the state of reading the cloud's list, page by page.
type cloudList struct {
	inProgress bool
	failed     bool          // the last reading failed and was discarded
	nextAt     micros.Micros // time from which the next reading may begin
	machines   map[string]wire.ListedMachine
}

// TickCloudList begins a reading of the cloud's list if one is due.
func (f *Fleet) TickCloudList() {
	f.refresh()
	l := &f.cloudListing
	if l.inProgress || f.now < l.nextAt || !f.cloud.Allow() {
		return
	}
	l.inProgress, l.machines = true, map[string]wire.ListedMachine{}
	f.requestCloudListPage("")
}

// requestCloudListPage requests the page of machines whose names sort after the given name.
func (f *Fleet) requestCloudListPage(after string) {
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("after", after)
	}
	f.cloud.Call(http.MethodGet, wire.PathRentals+"?"+query.Encode(), nil, func(status wire.Status, body []byte) {
		if f.host.Superseded() {
			return
		}
		f.refresh()
		f.handleCloudListPage(status, body)
	})
}

// handleCloudListPage handles one page of the list. If the request for a page fails, the whole reading
// is discarded.
func (f *Fleet) handleCloudListPage(status wire.Status, body []byte) {
	l := &f.cloudListing
	l.nextAt = f.now + max(f.settings.CloudListLag, minListInterval)
	var page wire.MachineList
	err := decodePage(status, body, &page)
	if err != nil && !l.failed {
		f.log.Warn("machines of the cloud cannot be listed", "error", err)
	}
	l.failed = err != nil
	if err != nil {
		l.inProgress = false
		return
	}
	for _, m := range page.Machines {
		l.machines[m.Name] = m
	}
	if page.More && len(page.Machines) > 0 {
		f.requestCloudListPage(page.Machines[len(page.Machines)-1].Name)
		return
	}
	l.inProgress = false
	f.applyCloudList(l.machines)
}

// decodePage decodes a page of the list.
func decodePage(status wire.Status, body []byte, page *wire.MachineList) error {
	if status != wire.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return wire.Decode(body, page)
}

// applyCloudList updates the machines from the cloud's list and adopts the orphaned ones among the
// listed machines.
func (f *Fleet) applyCloudList(list map[string]wire.ListedMachine) {
	for _, name := range ordered.Keys(list) {
		f.applyListedMachine(list[name])
	}
	maps.DeleteFunc(f.orphanedSince, func(name string, _ micros.Micros) bool {
		_, listed := list[name]
		return !listed
	})
	for name, m := range f.Machines {
		if _, listed := list[name]; !listed && m.CloudListed {
			m.MissedListings++
		}
	}
}

// applyListedMachine updates a machine from its entry in the cloud's list, or adopts it if it is
// orphaned.
func (f *Fleet) applyListedMachine(entry wire.ListedMachine) {
	m := f.Machines[entry.Name]
	if m == nil {
		if !f.isOrphaned(entry.Name) {
			return
		}
		m = f.Adopt(inventory.MachineInfo{
			Name: entry.Name, Type: entry.Type, Zone: entry.Zone, Spot: entry.Spot, Endpoint: entry.Endpoint,
		})
		m.ProvisionedAt = f.wallClock - micros.FromSeconds(entry.AgeS)
	}
	m.CloudListed, m.MissedListings = true, 0
	m.Failed = entry.Status == wire.ListFailed
	m.Endpoint = cmp.Or(m.Endpoint, entry.Endpoint)
}

// isOrphaned reports whether a listed machine has no owner and this owner must adopt it. The list
// may be out of date by twice its usual lag and still show machines that another owner has
// terminated, so a machine must stay listed for longer than that.
func (f *Fleet) isOrphaned(name string) bool {
	if f.IsRecentlyTerminated(name) || f.IsOwnedElsewhere(name) || f.ownership.IsClaimedByPeer(name) ||
		!f.ownership.AdoptsOrphans() {
		return false
	}
	if f.orphanedSince[name] == 0 {
		f.orphanedSince[name] = f.now
	}
	return f.now-f.orphanedSince[name] > orphanLagFactor*f.settings.CloudListLag
}
