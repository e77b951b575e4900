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

	"tamarindlead/config"
	"tamarindlead/micros"
)

// The version in production is the commit that deploy/service.toml names. Tests build it
// from the repository's history, together with production/_node, and run it as a program:
// so both versions' cores play in one world, and each reads what the other wrote.

// productionProgram is the program, built once in a run of the tests.
var productionProgram = sync.OnceValues(buildProductionProgram)

// productionBuildDir holds what buildProductionProgram makes; TestMain deletes it.
var productionBuildDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if productionBuildDir != "" {
		if err := os.RemoveAll(productionBuildDir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = max(code, 1)
		}
	}
	os.Exit(code)
}

var productionLine = regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`)

// productionCommands upgrade and downgrade nodes.
var productionCommands = commandTable{
	"upgrade":       silent(func(c *command) { c.replaceVersion(currentVersion, c.node()) }),
	"downgrade":     silent(func(c *command) { c.replaceVersion(productionVersion, c.node()) }),
	"upgrade-all":   silent(func(c *command) { c.replaceVersion(currentVersion, c.sim.nodes...) }),
	"downgrade-all": silent(func(c *command) { c.replaceVersion(productionVersion, c.sim.nodes...) }),
	"leader-version": func(c *command) string {
		if i := c.sim.leader(); i >= 0 {
			return c.sim.nodes[i].version.String()
		}
		return "nobody leads"
	},
}

// replaceVersion stops nodes at once and restarts them with another version.
func (c *command) replaceVersion(to version, nodes ...*simNode) {
	c.t.Helper()
	for _, node := range nodes {
		node.version = to
		c.sim.crash(node, c.downtime())
	}
}

// startWithProduction has the world's first nodes begin with the version in production.
func (sim *simulation) startWithProduction(t *testing.T, nodes int) {
	sim.production = startProduction(t)
	for _, node := range sim.nodes[:nodes] {
		node.version = productionVersion
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

func buildProductionProgram() (string, error) {
	commit, err := productionCommit()
	if err != nil {
		return "", err
	}
	if productionBuildDir, err = os.MkdirTemp("", "production-"); err != nil {
		return "", err
	}
	tree := filepath.Join(productionBuildDir, "tree")
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
	program := filepath.Join(productionBuildDir, "node")
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

// productionProcess is the running program.
type productionProcess struct {
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
func startProduction(t *testing.T) *productionProcess {
	t.Helper()
	program, err := productionProgram()
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
	return &productionProcess{out: gob.NewEncoder(stdin), in: gob.NewDecoder(stdout)}
}

func (process *productionProcess) exchange(request productionRequest) (response productionResponse) {
	if process.err == nil {
		process.err = process.out.Encode(toProduction(request))
	}
	if process.err == nil {
		process.err = process.in.Decode(&response)
	}
	return response
}

// decodeRecord tells what the production version reads in a record.
func (process *productionProcess) decodeRecord(key string, value []byte) string {
	return withoutDefaults(process.exchange(productionRequest{Read: true, Key: key, Value: value}).Text)
}

// decodeMessage is the same for a message between siblings.
func (process *productionProcess) decodeMessage(body []byte) string {
	return process.exchange(productionRequest{Message: true, Value: body}).Text
}

// productionCore is a node's core of the production version.
type productionCore struct {
	process   *productionProcess
	node      int
	ownership int
	active    bool
}

func (sim *simulation) startProductionNode(node *simNode, cfg *config.Settings) {
	node.productionCore = &productionCore{process: sim.production, node: node.index}
	node.productionCore.process.exchange(productionRequest{Node: node.index, Now: sim.now, Settings: cfg, Seed: sim.rng.Uint64(), Debug: os.Getenv("SCENARIO_LOG") != ""})
}

func (core *productionCore) handle(sim *simulation, ev Event) []Effect {
	request := productionRequest{Node: core.node, Now: sim.now}
	switch ev := ev.(type) {
	case Request:
		request.Request = &ev
	case CallDone:
		request.Done = &ev
	}
	response := core.process.exchange(request)
	if core.process.err != nil {
		sim.reportViolation("the production version has ended: %v", core.process.err)
	}
	core.ownership, core.active = response.Owner, response.Active
	var out []Effect
	for _, e := range response.Effects {
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

func (node *simNode) handle(sim *simulation, ev Event) []Effect {
	if node.productionCore != nil {
		return node.productionCore.handle(sim, ev)
	}
	return node.core.Handle(sim.now, sim.now, ev)
}

// ownership tells whether the node owns teams, and by what; nil: it does not.
func (node *simNode) ownership() (by any, active bool) {
	switch {
	case !node.up:
	case node.productionCore != nil && node.productionCore.ownership > 0:
		return fmt.Sprint(node.incarnation, " ", node.productionCore.ownership), node.productionCore.active
	case node.productionCore == nil && node.core.owner != nil:
		return node.core.owner, node.core.owner.state == ownerActive
	}
	return nil, false
}
