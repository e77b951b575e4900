package controller

import (
	"encoding/gob"
	"errors"
	"os"
	"os/exec"
	"testing"

	"tamarindlead/config"
	"tamarindlead/micros"
)

// productionCommands are the scenario commands that upgrade and downgrade nodes or print their version.
var productionCommands = commandTable{
	"upgrade":       silent(func(c *command) { c.replaceVersion(currentVersion, c.node()) }),
	"downgrade":     silent(func(c *command) { c.replaceVersion(productionVersion, c.node()) }),
	"upgrade-all":   silent(func(c *command) { c.replaceVersion(currentVersion, c.sim.nodes...) }),
	"downgrade-all": silent(func(c *command) { c.replaceVersion(productionVersion, c.sim.nodes...) }),
	"leader-version": func(c *command) string {
		if i := c.sim.leader(); i >= 0 {
			return c.sim.nodes[i].version.String()
		}
		return "no leader"
	},
}

// replaceVersion crashes nodes and restarts them with another version.
func (c *command) replaceVersion(to version, nodes ...*simNode) {
	c.t.Helper()
	for _, node := range nodes {
		node.version = to
		c.sim.crash(node, c.downtime())
	}
}

// startWithProduction starts the program of the version in production and sets the given number of nodes,
// from the first, to run that version.
func (sim *simulation) startWithProduction(t *testing.T, nodes int) {
	sim.production = startProduction(t)
	for _, node := range sim.nodes[:nodes] {
		node.version = productionVersion
	}
}

// productionProcess is a process that runs the program of the version in production.
type productionProcess struct {
	out *gob.Encoder
	in  *gob.Decoder
	err error // the first error of an exchange; no exchange is possible after it
}

// These types correspond to NodeRequest, NodeResponse and Effect of the program
// (production/_node/main.go), which describes their fields.
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

// startProduction starts a process of the version in production that runs until the test ends.
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
			t.Errorf("the process of the production version has failed: %v", err)
		}
	})
	return &productionProcess{out: gob.NewEncoder(stdin), in: gob.NewDecoder(stdout)}
}

// exchange sends a request to the process and returns its response, which is empty after an error.
func (process *productionProcess) exchange(request productionRequest) (response productionResponse) {
	if process.err == nil {
		process.err = process.out.Encode(toProduction(request))
	}
	if process.err == nil {
		process.err = process.in.Decode(&response)
	}
	return response
}

// decodeRecord returns what the version in production decodes from a record.
func (process *productionProcess) decodeRecord(key string, value []byte) string {
	return withoutDefaults(process.exchange(productionRequest{Read: true, Key: key, Value: value}).Text)
}

// decodeMessage returns what the version in production decodes from a peer message.
func (process *productionProcess) decodeMessage(body []byte) string {
	return process.exchange(productionRequest{Message: true, Value: body}).Text
}
