// Package build builds the programs under test from a revision of this project, or from the working tree.
package build

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Names of the programs and of their packages under cmd.
const (
	Relay   = "cherrytrestle"         // a relay that runs on its own
	Fleet   = "cherrytrestle-fleet"   // a relay that is a member of its fleet
	Steward = "cherrytrestle-steward" // a steward
)

// FindRoot returns the root of the repository that contains the folder from.
func FindRoot(from string) (string, error) {
	dir, err := filepath.Abs(from)
	if err != nil {
		return "", fmt.Errorf("build: %w", err)
	}
	for ; ; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("build: no go.mod here or above; run inside the repository, or name programs with --build")
		}
	}
}

// WorkTree builds the working tree into outDir. It returns the path of the relay program and the revision as Head does.
func WorkTree(ctx context.Context, root, outDir string, tags ...string) (program, revision string, err error) {
	program, err = compile(ctx, root, outDir, tags...)
	return program, Head(ctx, root), err
}

// Head returns the checked-out revision, followed by + if Go files or go.mod in the working tree differ from it, or
// "unknown".
func Head(ctx context.Context, root string) string {
	revision, err := git(ctx, root, "rev-parse", "--short", "HEAD")
	if err != nil {
		return "unknown"
	}
	if status, err := git(ctx, root, "status", "--porcelain", "--", "*.go", "go.mod"); err != nil || status != "" {
		revision += "+"
	}
	return revision
}

// Revision builds a revision into outDir, in a temporary worktree. patch, if not "", is a file that is applied first.
func Revision(ctx context.Context, root, rev, patch, outDir string, tags ...string) (program, revision string, err error) {
	if revision, err = git(ctx, root, "rev-parse", "--short", rev+"^{commit}"); err != nil {
		return "", "", err
	}
	tree, err := os.MkdirTemp("", "testbed-tree-")
	if err != nil {
		return "", "", fmt.Errorf("build: %w", err)
	}
	defer os.RemoveAll(tree)
	if _, err := git(ctx, root, "worktree", "add", "--quiet", "--detach", "--force", tree, revision); err != nil {
		return "", "", err
	}
	defer git(context.WithoutCancel(ctx), root, "worktree", "remove", "--force", tree)
	if patch != "" {
		if _, err := git(ctx, tree, "apply", patch); err != nil {
			return "", "", err
		}
	}
	program, err = compile(ctx, tree, outDir, tags...)
	return program, revision, err
}

func compile(ctx context.Context, tree, outDir string, tags ...string) (string, error) {
	outDir, err := filepath.Abs(outDir)
	if err != nil {
		return "", fmt.Errorf("build: %w", err)
	}
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return "", fmt.Errorf("build: %w", err)
	}
	program := filepath.Join(outDir, Relay)
	packages := []string{"./cmd/" + Relay}
	for _, name := range []string{Fleet, Steward} {
		if _, err := os.Stat(filepath.Join(tree, "cmd", name)); err == nil {
			packages = append(packages, "./cmd/"+name) // earlier revisions don't have them
		}
	}
	cmd := exec.CommandContext(ctx, "go", append([]string{"build", "-buildvcs=false", "-ldflags=-linkmode=external",
		"-tags=" + strings.Join(tags, ","), "-o", outDir + "/"}, packages...)...)
	cmd.Dir, cmd.Env = tree, append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return program, nil
}

func git(ctx context.Context, dir string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, "git", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: git %s: %w: %s", args[0], err, strings.TrimSpace(string(out)))
	}
	return strings.TrimSpace(string(out)), nil
}
