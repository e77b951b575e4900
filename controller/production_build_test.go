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
