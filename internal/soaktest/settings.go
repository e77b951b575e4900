package soaktest

import (
	"fmt"
	"strings"
)

// platformSettings returns the settings file of a controller.
func platformSettings(a addresses, controller int, o Options) string {
	var b strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	writeLine("node = %q\nzone = %q", controllerName(controller), zoneOf(controller))
	writeLine("listen = %q\ncluster_listen = %q", a.users(controller), a.peers(controller))
	for i := range o.Controllers {
		if i != controller {
			writeLine("[[siblings]]\nnode = %q\nzone = %q\nendpoint = %q", controllerName(i), zoneOf(i), a.peer(controller, i))
		}
	}
	writeLine("[services]\ncloud = %q\nstate = %q", a.cloud(controller), a.kvStore(controller))
	b.WriteString(sharedSettings(o))
	return b.String()
}

// sharedSettings returns the part of the settings file that all controllers share.
func sharedSettings(o Options) string {
	var b strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	limits := drawKVLimits(o.Seed)
	writeLine("[params]\ncount = %d\nzones = [%q, %q]\ntime_bound_ms = %d", o.Controllers, zones[0], zones[1], clockErrorBoundMS)
	for _, t := range teams(o.Machines) {
		writeLine("[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f", t.Name, t.GuaranteedQuota.CPUs(), t.QuotaLimit.CPUs())
	}
	writeLine("[params.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\ngang_peer_s = %g\ncancel_s = %g",
		heartbeatInterval.Seconds(), workerLease.Seconds(), gangWaitTimeout.Seconds(), gangPeerTimeout.Seconds(), cancelDeadline.Seconds())
	writeLine("[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d",
		limits.requestRate, limits.writeRate, maxValueBytes>>10, maxTransactionOps)
	writeLine("[params.cloud]\nrps = %d.0\nlist_lag_s = %g", cloudRPS, listDelay.Seconds())
	writeLine("[params.quota]\ncores = 1.0\nram_mb = %d.0\nsockets = %d", controllerMemoryMB, o.Sockets)
	return b.String()
}

// operatorProperties returns the operators' properties file, which is the same for all controllers.
// In runs with an even seed, teams.spread is on: the teams are assigned to several controllers
// instead of all to one. Each team has one owner in either case.
func operatorProperties(seed uint64) string {
	return fmt.Sprintf("teams.spread = %t\n", seed%2 == 0)
}
