package config

import (
	"errors"
	"os"
	"path/filepath"
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
		t.Fatalf("read as %+v", s)
	}
}

func TestParseNamesTheKey(t *testing.T) {
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
			if err == nil || !strings.Contains(err.Error(), c.key) {
				t.Fatalf("error %v does not name %s", err, c.key)
			}
		})
	}
}

// TestParseUpcomingLimits guards against records and requests that the limits to come would not allow,
// and against limits that cannot be meant.
func TestParseUpcomingLimits(t *testing.T) {
	with := func(lines string) string {
		return strings.Replace(platform, "[params.cloud]", "[params.state.next]\n"+lines+"\n\n[params.cloud]", 1)
	}
	type limits struct {
		rps, writes float64
		value, ops  int
	}
	now := limits{150, 20, 8192, 16}
	for _, c := range []struct {
		lines string
		want  limits
	}{
		{"", now},
		{"write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5", limits{150, 15, 2048, 5}},
		{"rps = 100.0", limits{100, 20, 8192, 16}},
		{"rps = 100", limits{100, 20, 8192, 16}},
		{"value_kb = 2.5", limits{150, 20, 2560, 16}},
		{"rps = 500.0\nwrite_rps = 90.0\nvalue_kb = 64.0\ntxn_ops = 64", now}, // until then the smaller hold
		{"other = 1", now},
	} {
		s, err := Parse([]byte(with(c.lines)))
		if err != nil {
			t.Errorf("%q: %v", c.lines, err)
			continue
		}
		if got := (limits{s.KVRequestRate, s.KVWriteRate, s.MaxValueBytes, s.MaxTransactionOps}); got != c.want {
			t.Errorf("%q: read as %v", c.lines, got)
		}
	}
	for _, line := range []string{
		"value_kb = 0.0", "value_kb = -2.0", "value_kb = 0.5", "value_kb = nan", "value_kb = inf", `value_kb = "two"`,
		"txn_ops = 0", "txn_ops = 3", "txn_ops = -5", "txn_ops = 4.5", `txn_ops = "five"`,
		"write_rps = 0.0", "write_rps = -1.0", "write_rps = nan", "rps = 0.0", "rps = inf", "rps = true",
	} {
		key := "params.state.next." + strings.Fields(line)[0]
		if _, err := Parse([]byte(with(line))); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name %s", line, err, key)
		}
	}
}

func TestParseTuning(t *testing.T) {
	tu, err := ParseTuning([]byte("# ours\nmachine.idle_s = 45\npreempt.domains: 2\n"))
	if err != nil || tu.IdleTimeout != 45*micros.Second || tu.MaxDomains != 2 || tu.ReservationTimeout != DefaultTuning().ReservationTimeout {
		t.Fatalf("read as %+v, %v", tu, err)
	}
	for text, key := range map[string]string{
		"machine.idel_s = 45": "machine.idel_s", "machine.idle_s = soon": "machine.idle_s", "leader.ttl_s = 0.01": "leader.ttl_s",
	} {
		if _, err := ParseTuning([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v", text, err)
		}
	}
}

// TestOperatingListsAll keeps the operators' page complete.
func TestOperatingListsAll(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "operating.md"))
	if err != nil {
		t.Fatal(err)
	}
	for key, p := range tuningProperties {
		if !strings.Contains(string(page), "`"+key+"`") || !strings.Contains(string(page), p.description) {
			t.Errorf("docs/operating.md lacks %s (%s)", key, p.description)
		}
	}
	for old := range aliases {
		if !strings.Contains(string(page), "`"+old+"`") {
			t.Errorf("docs/operating.md lacks the old name %s", old)
		}
	}
}

// TestRenamedProperties keeps files with old names of properties valid.
func TestRenamedProperties(t *testing.T) {
	for old, current := range aliases {
		if _, exists := tuningProperties[old]; exists {
			t.Errorf("%s is both a property and an alias", old)
		}
		byOld, err := ParseTuning([]byte(old + " = 7"))
		if err != nil {
			t.Errorf("%s: %v", old, err)
		}
		byCurrent, err := ParseTuning([]byte(current + " = 7"))
		if err != nil || byOld != byCurrent || byOld == DefaultTuning() {
			t.Errorf("%s is read as %+v, %s as %+v, %v", old, byOld, current, byCurrent, err)
		}
		_, err = ParseTuning([]byte(old + " = 7\n" + current + " = 7"))
		if !errors.Is(err, ErrDuplicateProperty) {
			t.Errorf("%s with %s: error %v", old, current, err)
		}
	}
	if _, err := ParseTuning([]byte("machine.idel_s = 1")); !errors.Is(err, ErrUnknownProperty) {
		t.Errorf("a misspelt key: error %v", err)
	}
}

// TestTimeoutsFollowHeartbeats guards against giving up machines whose reports come too
// seldom for the defaults.
func TestTimeoutsFollowHeartbeats(t *testing.T) {
	for _, c := range []struct{ report, silent, grace float64 }{{3, 10, 8}, {5, 10, 8}, {10, 20, 16}} {
		s := Settings{HeartbeatInterval: micros.FromSeconds(c.report), Tuning: DefaultTuning()}
		if s.HeartbeatTimeout() != micros.FromSeconds(c.silent) || s.FailoverGrace() != micros.FromSeconds(c.grace) {
			t.Errorf("reports every %g s: %v and %v", c.report, s.HeartbeatTimeout(), s.FailoverGrace())
		}
	}
}
