// Package build makes the relay's program from a revision of this project, or from the work as it stands.
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

// Relay is the relay's package, and its program's name; Fleet is that of the one that is a member of its fleet.
const (
	Relay = "cherrytrestle"
	Fleet = "cherrytrestle-fleet"
	// Steward is the stewards' program.
	Steward = "cherrytrestle-steward"
)

// FindRoot is the repository's root above a folder.
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

// WorkTree builds the work as it stands into a folder and returns the program's path and the revision, with + behind it where
// the work differs.
func WorkTree(ctx context.Context, root, outDir string, tags ...string) (program, revision string, err error) {
	program, err = compile(ctx, root, outDir, tags...)
	return program, Head(ctx, root), err
}

// Head is the revision of the work, with + behind it where the work differs, or "unknown".
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

// Revision builds a revision into a folder, in a work tree of its own that is gone afterwards. patch, if not "", is a
// file that is applied to it first.
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
			packages = append(packages, "./cmd/"+name) // earlier revisions have none
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
