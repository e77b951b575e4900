package config

import (
	"errors"
	"strings"
	"testing"

	"tamarindlead/micros"
)

const platform = `
node = "n0"
zone = "a"
listen = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
unknown = 3

[[siblings]]
node = "n1"
zone = "b"
endpoint = "127.0.0.1:8082"

[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"

[params]
count = 2
zones = ["a", "b"]
time_bound_ms = 100.0

[[params.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
gpus = 0.0
gpus_max = 0.0

[params.workers]
report_s = 3.0
lease_s = 17.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 47.0

[params.state]
rps = 150.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16

[params.cloud]
rps = 2.0
list_lag_s = 8.0

[params.quota]
cores = 0.18
ram_mb = 125.0
sockets = 1200
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(platform))
	if err != nil {
		t.Fatal(err)
	}
	if s.WorkerLease != 17*micros.Second || s.MaxValueBytes != 8192 || s.MemoryBytes != 125e6 || s.Teams[0].QuotaLimit.CPUs() != 16 {
		t.Fatalf("settings %+v", s)
	}
}

// requireKeyError requires an error about the key, which its text starts with.
func requireKeyError(t *testing.T, err error, key string) {
	t.Helper()
	var keyErr *KeyError
	if !errors.As(err, &keyErr) || keyErr.Key != key || !strings.HasPrefix(err.Error(), key+": ") {
		t.Errorf("error %v, want a KeyError about %s", err, key)
	}
}

func TestParseErrorsNameTheKey(t *testing.T) {
	cases := []struct{ from, to, key string }{
		{`node = "n0"`, ``, "node"},
		{`listen = "127.0.0.1:8080"`, `listen = "here"`, "listen"},
		{`cloud = "127.0.0.1:1"`, ``, "services.cloud"},
		{`lease_s = 17.0`, `lease_s = -1.0`, "params.workers.lease_s"},
		{`lease_s = 17.0`, `lease_s = "long"`, "params.workers.lease_s"},
		{`lease_s = 17.0`, `lease_s = 3.0`, "params.workers.lease_s"},
		{`txn_ops = 16`, `txn_ops = 0`, "params.state.txn_ops"},
		{`count = 2`, `count = 3`, "params.count"},
		{`cpus_max = 16.0`, `cpus_max = -16.0`, "params.teams[0].cpus_max"},
		{`endpoint = "127.0.0.1:8082"`, ``, "siblings[0].endpoint"},
		{`node = "n1"`, `node = "n0"`, "siblings[0].node"},
		{`sockets = 1200`, `sockets = 1`, "params.quota.sockets"},
	}
	for _, c := range cases {
		t.Run(c.to, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(platform, c.from, c.to, 1)))
			requireKeyError(t, err, c.key)
		})
	}
}

// withUpcomingLimits returns a platform file with lines in the table of upcoming limits.
func withUpcomingLimits(lines string) string {
	return strings.Replace(platform, "[params.cloud]", "[params.state.next]\n"+lines+"\n\n[params.cloud]", 1)
}

// TestParseUpcomingLimits guards against records and requests that exceed the upcoming limits.
func TestParseUpcomingLimits(t *testing.T) {
	type limits struct {
		rps, writes float64
		value, ops  int
	}
	present := limits{150, 20, 8192, 16}
	for _, c := range []struct {
		lines string
		want  limits
	}{
		{"", present},
		{"write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5", limits{150, 15, 2048, 5}},
		{"rps = 100.0", limits{100, 20, 8192, 16}},
		{"rps = 100", limits{100, 20, 8192, 16}},
		{"value_kb = 2.5", limits{150, 20, 2560, 16}},
		// Upcoming limits that are larger than the present ones are ignored until they take effect.
		{"rps = 500.0\nwrite_rps = 90.0\nvalue_kb = 64.0\ntxn_ops = 64", present},
		{"other = 1", present},
	} {
		t.Run(c.lines, func(t *testing.T) {
			s, err := Parse([]byte(withUpcomingLimits(c.lines)))
			if err != nil {
				t.Fatal(err)
			}
			if got := (limits{s.KVRequestRate, s.KVWriteRate, s.MaxValueBytes, s.MaxTransactionOps}); got != c.want {
				t.Errorf("limits %v, want %v", got, c.want)
			}
		})
	}
}

func TestParseInvalidUpcomingLimits(t *testing.T) {
	for _, line := range []string{
		"value_kb = 0.0", "value_kb = -2.0", "value_kb = 0.5", "value_kb = nan", "value_kb = inf", `value_kb = "two"`,
		"txn_ops = 0", "txn_ops = 3", "txn_ops = -5", "txn_ops = 4.5", `txn_ops = "five"`,
		"write_rps = 0.0", "write_rps = -1.0", "write_rps = nan", "rps = 0.0", "rps = inf", "rps = true",
	} {
		t.Run(line, func(t *testing.T) {
			_, err := Parse([]byte(withUpcomingLimits(line)))
			requireKeyError(t, err, "params.state.next."+strings.Fields(line)[0])
		})
	}
}

// TestTimeoutsFollowHeartbeatInterval guards against terminating healthy machines whose heartbeat
// interval is too long for the default timeouts.
func TestTimeoutsFollowHeartbeatInterval(t *testing.T) {
	for _, c := range []struct{ interval, timeout, grace float64 }{{3, 10, 8}, {5, 10, 8}, {10, 20, 16}} {
		s := Settings{HeartbeatInterval: micros.FromSeconds(c.interval), Tuning: DefaultTuning()}
		if got, want := s.HeartbeatTimeout(), micros.FromSeconds(c.timeout); got != want {
			t.Errorf("heartbeats every %g s: timeout %v, want %v", c.interval, got, want)
		}
		if got, want := s.FailoverGrace(), micros.FromSeconds(c.grace); got != want {
			t.Errorf("heartbeats every %g s: grace %v, want %v", c.interval, got, want)
		}
	}
}
