//go:build soak

package main

import (
	"os/exec"
	"testing"
)

// runCase runs the script of a case; the build of the deploy file and build-2.sh come before.
func runCase(t *testing.T, script string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "bash", script).CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", script, err, out)
	}
}

func TestCase6(t *testing.T) { runCase(t, "../run.sh") }

func TestCase7(t *testing.T) { runCase(t, "../../7/run.sh") }
