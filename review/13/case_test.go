//go:build soak

package main

import (
	"os/exec"
	"testing"
)

// TestCase13 runs the script of the case; the build of the deploy file and build-3.sh come before.
func TestCase13(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "sh", "run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}
