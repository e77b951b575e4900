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

// controllerProcess is one controller: its settings, and its process while it runs.
type controllerProcess struct {
	name    string
	binary  string
	config  string // path of its settings
	logPath string
	// users and peers are the addresses at which it listens.
	users, peers string
	// onUnexpectedExit is told when the process ends though nobody ended it.
	onUnexpectedExit func(name string, err error)

	mu       sync.Mutex
	command  *exec.Cmd
	stopping bool // the process is being ended
	exited   chan struct{}
}

// start starts the process.
func (c *controllerProcess) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	command := exec.Command(c.binary, "--config", c.config, "--properties", propertiesPath(c.config))
	command.Env = append(os.Environ(), "LOG_LEVEL=debug")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	c.command, c.stopping, c.exited = command, false, gone
	go func() {
		err := command.Wait()
		c.mu.Lock()
		expected := c.stopping
		c.mu.Unlock()
		close(gone)
		if !expected {
			c.onUnexpectedExit(c.name, err)
		}
	}()
	return nil
}

// kill ends the process at once and waits until it is gone.
func (c *controllerProcess) kill() {
	c.mu.Lock()
	command, gone := c.command, c.exited
	c.stopping = true
	c.mu.Unlock()
	if command == nil {
		return
	}
	command.Process.Kill()
	<-gone
}

// suspend stops the process where it is, and thaw lets it go on.
func (c *controllerProcess) suspend() error { return c.signal(syscall.SIGSTOP) }

func (c *controllerProcess) resume() error { return c.signal(syscall.SIGCONT) }

func (c *controllerProcess) signal(s syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil || c.stopping {
		return errors.New("no process")
	}
	return c.command.Process.Signal(s)
}

// propertiesPath is the path of the operators' settings beside those of a controller.
func propertiesPath(config string) string { return config + ".properties" }

// writeSettings writes the files of a controller.
func (c *controllerProcess) writeSettings(platform, properties string) error {
	if err := os.WriteFile(c.config, []byte(platform), 0o644); err != nil {
		return fmt.Errorf("settings of %s: %w", c.name, err)
	}
	return os.WriteFile(propertiesPath(c.config), []byte(properties), 0o644)
}

func newController(name, binary, dir, users, peers string, ended func(string, error)) *controllerProcess {
	return &controllerProcess{
		name: name, binary: binary, users: users, peers: peers, onUnexpectedExit: ended,
		config: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"),
	}
}
