//go:build soak

package prover

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

const exitTimeout = 5 * time.Second

// process is a started program of bin/, or of an absolute path. It is only ever signalled by its process ID.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(dir, name, program string, args ...string) *process {
	out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Expect(err).NotTo(HaveOccurred())
	defer out.Close()
	if !filepath.IsAbs(program) {
		program = filepath.Join("..", "bin", program)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(cmd.Start()).To(Succeed())
	pro := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(pro.done)
	}()
	return pro
}

func (pro *process) signal(sig syscall.Signal) {
	if !pro.ended() {
		_ = pro.cmd.Process.Signal(sig)
	}
}

func (pro *process) ended() bool {
	select {
	case <-pro.done:
		return true
	default:
		return false
	}
}

func (pro *process) kill() {
	pro.signal(syscall.SIGKILL)
	Eventually(pro.done, exitTimeout).Should(BeClosed(), "exit of "+pro.name)
}

// terminate requests a graceful shutdown and reports whether the process exited with status 0 in time.
func (pro *process) terminate(limit time.Duration) bool {
	pro.signal(syscall.SIGTERM)
	select {
	case <-pro.done:
		return pro.cmd.ProcessState.Success()
	case <-time.After(limit):
		return false
	}
}
