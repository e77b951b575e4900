package controller

import (
	"archive/tar"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"testing"
)

// The version in production is the commit that deploy/service.toml names. Tests build it from the
// repository's history, together with production/_node, and run it as a separate process. The cores of
// both versions run in one simulation, and each decodes what the other wrote.

// productionProgram returns the path of the program and builds it on the first call of a test run.
var productionProgram = sync.OnceValues(buildProductionProgram)

// productionBuildDir is the directory in which buildProductionProgram builds. TestMain deletes it.
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

// productionCommit returns the commit that deploy/service.toml names.
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

// buildProductionProgram builds the program from the tree of the version in production.
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
	if err := copyFile(filepath.Join(tree, "cmd/node/main.go"), "production/_node/main.go"); err != nil {
		return "", err
	}
	if err := copyFile(filepath.Join(tree, "controller/read.go"), "production/_node/read.go"); err != nil {
		return "", err
	}
	program := filepath.Join(productionBuildDir, "node")
	build := exec.Command("go", "build", "-trimpath", "-o", program, "./cmd/node")
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the production version: %w\n%s", err, out)
	}
	return program, nil
}

func copyFile(to, from string) error {
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return writeFile(to, data)
}

// writeFile writes a file and creates its directory if needed.
func writeFile(path string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// unpackTree unpacks the regular files of a tar archive into a directory.
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
		data, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		if err := writeFile(filepath.Join(dir, h.Name), data); err != nil {
			return err
		}
	}
}
