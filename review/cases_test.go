//go:build soak

package review

import (
	"os/exec"
	"testing"
)

// runCase runs the script of a case; the build of the deploy file and build.sh come before.
func runCase(t *testing.T, script string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "bash", script).CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", script, err, out)
	}
}

func TestCase1(t *testing.T) { runCase(t, "1/run.sh") }

func TestCase2(t *testing.T) { runCase(t, "2/run.sh") }

func TestCase3(t *testing.T) { runCase(t, "3/run.sh") }

func TestCase4(t *testing.T) { runCase(t, "4/run.sh") }

func TestCase5(t *testing.T) { runCase(t, "5/run.sh") }
