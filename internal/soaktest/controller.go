package soaktest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// errNoProcess reports that a signal cannot be sent because the controller has no running process.
var errNoProcess = errors.New("the controller has no process")

// controllerProcess is one controller: its settings, and its process while it runs.
type controllerProcess struct {
	name           string
	binary         string
	settingsPath   string
	propertiesPath string
	logPath        string
	// onUnexpectedExit is called when the process exits though kill was not called.
	onUnexpectedExit func(name string, err error)

	mu       sync.Mutex // guards the fields below
	command  *exec.Cmd  // nil before the first start
	stopping bool       // kill was called after the last start
	exited   chan struct{}
}

func newController(name, binary, dir string, onUnexpectedExit func(string, error)) *controllerProcess {
	settingsPath := filepath.Join(dir, name+".toml")
	return &controllerProcess{
		name: name, binary: binary, onUnexpectedExit: onUnexpectedExit,
		settingsPath: settingsPath, propertiesPath: settingsPath + ".properties", logPath: filepath.Join(dir, name+".log"),
	}
}

// writeSettings writes the platform's settings and the operators' properties.
func (c *controllerProcess) writeSettings(settings, properties string) error {
	if err := os.WriteFile(c.settingsPath, []byte(settings), 0o644); err != nil {
		return fmt.Errorf("settings of %s: %w", c.name, err)
	}
	if err := os.WriteFile(c.propertiesPath, []byte(properties), 0o644); err != nil {
		return fmt.Errorf("properties of %s: %w", c.name, err)
	}
	return nil
}

// start starts the process. Its output is appended to the log.
func (c *controllerProcess) start() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of %s: %w", c.name, err)
	}
	defer func() { err = errors.Join(err, log.Close()) }() // the process keeps its own descriptor
	command := exec.Command(c.binary, "--config", c.settingsPath, "--properties", c.propertiesPath)
	command.Env = append(os.Environ(), "LOG_LEVEL=debug")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start of %s: %w", c.name, err)
	}
	exited := make(chan struct{})
	c.command, c.stopping, c.exited = command, false, exited
	go c.wait(command, exited)
	return nil
}

// wait waits until the process has exited.
func (c *controllerProcess) wait(command *exec.Cmd, exited chan<- struct{}) {
	err := command.Wait()
	c.mu.Lock()
	expected := c.stopping
	c.mu.Unlock()
	close(exited)
	if !expected {
		c.onUnexpectedExit(c.name, err)
	}
}

// kill kills the process, if it was started, and waits until it has exited.
func (c *controllerProcess) kill() {
	c.mu.Lock()
	command, exited := c.command, c.exited
	c.stopping = true
	c.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // fails if the process has exited
	<-exited
}

// suspend stops the process until resume is called.
func (c *controllerProcess) suspend() error { return c.signal(syscall.SIGSTOP) }

func (c *controllerProcess) resume() error { return c.signal(syscall.SIGCONT) }

func (c *controllerProcess) signal(s syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil || c.stopping {
		return errNoProcess
	}
	return c.command.Process.Signal(s)
}
