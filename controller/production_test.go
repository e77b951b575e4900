package controller

import (
	"archive/tar"
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/config"
	"tamarindlead/micros"
)

// The version in production is the commit that deploy/service.toml names. Tests build it
// from the repository's history, together with production/_node, and run it as a program:
// so both versions' cores play in one world, and each reads what the other wrote.

// nodeProgram is the program, built once in a run of the tests.
var nodeProgram = sync.OnceValues(buildNode)

// programDir holds what buildNode makes; TestMain deletes it.
var programDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if programDir != "" {
		if err := os.RemoveAll(programDir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = max(code, 1)
		}
	}
	os.Exit(code)
}

var productionLine = regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`)

// runProductionCommand plays the commands of this file; ok is false for any other.
func runProductionCommand(t *testing.T, w *simulation, d *datadriven.TestData, node func() *simNode) (out string, ok bool) {
	down := argSeconds(t, d, "for", restartDelay.Seconds())
	switch d.Cmd {
	case "upgrade": // a node ends and returns with the present version
		n := node()
		n.version = currentVersion
		w.crash(n, down)
	case "downgrade":
		n := node()
		n.version = productionVersion
		w.crash(n, down)
	case "downgrade-all": // all end at once and return with the version in production
		for _, n := range w.nodes {
			n.version = productionVersion
			w.crash(n, down)
		}
	case "upgrade-all":
		for _, n := range w.nodes {
			n.version = currentVersion
			w.crash(n, down)
		}
	case "leader-version":
		if i := w.leader(); i >= 0 {
			return w.nodes[i].version.String(), true
		}
		return "nobody leads", true
	default:
		return "", false
	}
	return "", true
}

// startWithProduction has the world's first nodes begin with the version in production.
func (w *simulation) startWithProduction(t *testing.T, nodes int) {
	w.production = startProduction(t)
	for _, n := range w.nodes[:nodes] {
		n.version = productionVersion
	}
}

// productionCommit is what deploy/service.toml names.
func productionCommit() (string, error) {
	text, err := os.ReadFile("../deploy/service.toml")
	if err != nil {
		return "", err
	}
	found := productionLine.FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/service.toml names no production version")
	}
	return string(found[1]), nil
}

func buildNode() (string, error) {
	commit, err := productionCommit()
	if err != nil {
		return "", err
	}
	if programDir, err = os.MkdirTemp("", "production-"); err != nil {
		return "", err
	}
	tree := filepath.Join(programDir, "tree")
	archive, err := exec.Command("git", "-C", "..", "archive", commit, "--", "go.mod", "go.sum", "config", "controller", "internal", "micros", "sched").Output()
	if err != nil {
		return "", fmt.Errorf("the production version %s is not in the repository's history: %w", commit, err)
	}
	if err := unpackTree(tree, archive); err != nil {
		return "", err
	}
	for from, to := range map[string]string{"main.go": "cmd/node/main.go", "read.go": "controller/read.go"} {
		data, err := os.ReadFile(filepath.Join("production/_node", from))
		if err == nil {
			err = os.MkdirAll(filepath.Dir(filepath.Join(tree, to)), 0o755)
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(tree, to), data, 0o644)
		}
		if err != nil {
			return "", err
		}
	}
	program := filepath.Join(programDir, "node")
	build := exec.Command("go", "build", "-trimpath", "-o", program, "./cmd/node")
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the production version: %w\n%s", err, out)
	}
	return program, nil
}

func unpackTree(dir string, archive []byte) error {
	for r := tar.NewReader(bytes.NewReader(archive)); ; {
		h, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if h.Typeflag != tar.TypeReg || !filepath.IsLocal(h.Name) {
			continue
		}
		path := filepath.Join(dir, h.Name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		data, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return err
		}
	}
}

// production is the running program.
type production struct {
	out *gob.Encoder
	in  *gob.Decoder
	err error // it has ended
}

// The program's Ask, Answer and Effect (production/_node/main.go).
type (
	productionRequest struct {
		Node     int
		Now      micros.Micros
		Settings *config.Settings
		Seed     uint64
		Debug    bool
		Request  *Request
		Done     *CallDone
		Read     bool
		Key      string
		Value    []byte
		Message  bool
	}
	productionResponse struct {
		Effects []productionEffect
		Owner   int
		Active  bool
		Text    string
	}
	productionEffect struct {
		Call    *Call
		Respond *Respond
	}
)

// startProduction runs the production version until the test ends.
func startProduction(t *testing.T) *production {
	t.Helper()
	program, err := nodeProgram()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := errors.Join(stdin.Close(), cmd.Wait()); err != nil {
			t.Errorf("the production version: %v", err)
		}
	})
	return &production{out: gob.NewEncoder(stdin), in: gob.NewDecoder(stdout)}
}

func (p *production) exchange(a productionRequest) (answer productionResponse) {
	if p.err == nil {
		p.err = p.out.Encode(toProduction(a))
	}
	if p.err == nil {
		p.err = p.in.Decode(&answer)
	}
	return answer
}

// decodeRecord tells what the production version reads in a record.
func (p *production) decodeRecord(key string, value []byte) string {
	return withoutDefaults(p.exchange(productionRequest{Read: true, Key: key, Value: value}).Text)
}

// decodeMessage is the same for a message between siblings.
func (p *production) decodeMessage(body []byte) string {
	return p.exchange(productionRequest{Message: true, Value: body}).Text
}

// productionCore is a node's core of the production version.
type productionCore struct {
	process   *production
	node      int
	ownership int
	active    bool
}

func (w *simulation) startProductionNode(n *simNode, cfg *config.Settings) {
	n.productionCore = &productionCore{process: w.production, node: n.index}
	n.productionCore.process.exchange(productionRequest{Node: n.index, Now: w.now, Settings: cfg, Seed: w.rng.Uint64(), Debug: os.Getenv("SCENARIO_LOG") != ""})
}

func (o *productionCore) handle(w *simulation, ev Event) []Effect {
	a := productionRequest{Node: o.node, Now: w.now}
	switch ev := ev.(type) {
	case Request:
		a.Request = &ev
	case CallDone:
		a.Done = &ev
	}
	answer := o.process.exchange(a)
	if o.process.err != nil {
		w.reportViolation("the production version has ended: %v", o.process.err)
	}
	o.ownership, o.active = answer.Owner, answer.Active
	var out []Effect
	for _, e := range answer.Effects {
		if e.Call != nil {
			out = append(out, *e.Call)
		} else {
			out = append(out, *e.Respond)
		}
	}
	return out
}

// version is which version of the controller a node runs.
type version int

const (
	currentVersion version = iota
	productionVersion
)

func (v version) String() string { return [...]string{"present", "production"}[v] }

func (n *simNode) handle(w *simulation, ev Event) []Effect {
	if n.productionCore != nil {
		return n.productionCore.handle(w, ev)
	}
	return n.core.Handle(w.now, w.now, ev)
}

// ownership tells whether the node owns teams, and by what; nil: it does not.
func (n *simNode) ownership() (by any, active bool) {
	switch {
	case !n.up:
	case n.productionCore != nil && n.productionCore.ownership > 0:
		return fmt.Sprint(n.incarnation, " ", n.productionCore.ownership), n.productionCore.active
	case n.productionCore == nil && n.core.owner != nil:
		return n.core.owner, n.core.owner.state == ownerActive
	}
	return nil, false
}
