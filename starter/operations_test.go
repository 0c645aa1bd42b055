package starter_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The example session in OPERATIONS.md runs as written.
func TestOperationsSession(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs the programs")
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "<!-- session -->\n```\n")
	session, _, closed := strings.Cut(rest, "```")
	if !found || !closed {
		t.Fatal("OPERATIONS.md has no session")
	}
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	script := exec.CommandContext(ctx, "bash", "-e", "-o", "pipefail", "-c", session)
	script.Dir = ".."
	script.Env = append(os.Environ(), "PATH="+bin+string(filepath.ListSeparator)+os.Getenv("PATH"))
	// The session leaves daemons and simulated upstreams running in one process group.
	script.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	script.Cancel = func() error { return syscall.Kill(-script.Process.Pid, syscall.SIGKILL) }
	out, err := os.Create(filepath.Join(bin, "out"))
	if err != nil {
		t.Fatal(err)
	}
	script.Stdout, script.Stderr = out, out
	err = script.Run()
	_ = syscall.Kill(-script.Process.Pid, syscall.SIGKILL)
	printed, _ := os.ReadFile(out.Name())
	if err != nil {
		t.Fatalf("session: %v\n%s", err, printed)
	}
	for _, want := range []string{"is sound", "complete: ", "chillan-yard-1", "first text"} {
		if !strings.Contains(string(printed), want) {
			t.Errorf("got no %q in:\n%s", want, printed)
		}
	}
}
