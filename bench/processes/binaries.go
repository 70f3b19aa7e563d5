// Package processes starts fleets of separate processes on loopback, freezes, stops and kills them by process id, and
// ends everything that it started.
package processes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Names of the programs.
const (
	Node          = "agatepulley"
	ConfigService = "configservice"
	HostList      = "hostlist"
	Backend       = "backend"
	Link          = "link"
)

// Binaries is a directory with the built programs.
type Binaries struct {
	dir string
}

// Build compiles the programs into dir.
func Build(ctx context.Context, dir string) (*Binaries, error) {
	root, err := workspaceRoot()
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/...", "./standin/cmd/...")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build programs: %w\n%s", err, output)
	}
	return &Binaries{dir: dir}, nil
}

// Path returns the path of a program.
func (b *Binaries) Path(name string) string {
	return filepath.Join(b.dir, name)
}

// workspaceRoot finds the directory with go.work above the working directory.
func workspaceRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", fmt.Errorf("find workspace: %w", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("find workspace: no go.work in the working directory or above")
		}
		dir = parent
	}
}

// Built returns the programs that were built into dir before.
func Built(dir string) *Binaries {
	return &Binaries{dir: dir}
}

// RunWith builds the programs into a directory that is removed afterwards, hands them over, and runs. It returns the exit
// code, for a TestMain.
func RunWith(use func(*Binaries), run func() int) int {
	dir, err := os.MkdirTemp("", "agatepulley-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries, err := Build(context.Background(), dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	use(binaries)
	return run()
}
