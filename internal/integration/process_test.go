package integration

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"text/template"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/operator"
	"alderdyke/internal/settings"
	"alderdyke/internal/standin/deployment"
)

// settingsText is the template of a VM's settings file.
var settingsText = template.Must(template.New("settings").Parse(`
ID = "{{.Set.ID}}"
FailureDomain = "{{.Set.FailureDomain}}"
Region = "{{.Set.Region}}"
[Caller]
Listen = "{{.Set.Caller.Listen}}"
Advertise = "{{.Set.Caller.Advertise}}"
[Peer]
Listen = "{{.Set.Peer.Listen}}"
Advertise = "{{.Set.Peer.Advertise}}"
Secret = "{{.PeerSecret}}"
Seeds = [{{range .Seeds}}"{{.}}",{{end}}]
[Operator]
Listen = "{{.Set.Operator.Listen}}"
Token = "{{.OperatorToken}}"
[Log]
Address = "{{.Set.Log.Address}}"
Token = "{{.LogToken}}"
[VMList]
Address = "{{.Set.VMList.Address}}"
Token = "{{.ListToken}}"
[Backends]
Token = "{{.BackendToken}}"
[Addresses]
KeepFor = "2s"
[Drain]
Linger = "1s"
`))

type (
	// vm is one entry VM. It has one process at a time.
	vm struct {
		set  settings.Settings
		file string
		ops  operator.Client

		observing sync.Mutex // held while its revision is observed

		mu     sync.Mutex
		proc   *process
		starts int
	}

	// process is one process of a VM.
	process struct {
		cmd  *exec.Cmd
		out  output
		done chan struct{}
		code int // exit code, or -2 if waiting for the process failed; valid once done is closed
	}

	// output collects the output of a process.
	output struct {
		mu  sync.Mutex
		buf bytes.Buffer
	}
)

// Write implements io.Writer.
func (ou *output) Write(part []byte) (int, error) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.buf.Write(part)
}

// tail returns the end of the output, without RequestEnded events.
func (ou *output) tail(limit int) string {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	var sb strings.Builder
	for line := range strings.Lines(ou.buf.String()) {
		if !strings.Contains(line, `"RequestEnded"`) {
			sb.WriteString(line)
		}
	}
	text := sb.String()
	return text[max(0, len(text)-limit):]
}

// newVM writes the settings file of a VM.
func newVM(t *testing.T, set settings.Settings, seeds []string) *vm {
	t.Helper()
	var text bytes.Buffer
	assert.NilError(t, settingsText.Execute(&text, map[string]any{
		"Set": set, "Seeds": seeds,
		"PeerSecret": deployment.PeerSecret, "OperatorToken": deployment.OperatorToken,
		"LogToken": deployment.LogToken, "ListToken": deployment.ListToken, "BackendToken": deployment.BackendToken,
	}))
	file := filepath.Join(t.TempDir(), set.ID+".toml")
	assert.NilError(t, os.WriteFile(file, text.Bytes(), 0o600))
	return &vm{
		set:  set,
		file: file,
		ops:  operator.Client{Address: set.Operator.Listen.String(), Token: set.Operator.Token},
	}
}

// start starts a new process of the VM.
func (vm *vm) start(t *testing.T) {
	t.Helper()
	vm.startCommand(t, exec.Command(program, "run", vm.file))
}

// startCommand starts a new process of the VM with a command.
func (vm *vm) startCommand(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	pr := &process{cmd: cmd, done: make(chan struct{})}
	pr.cmd.Stdout, pr.cmd.Stderr = &pr.out, &pr.out
	assert.NilError(t, pr.cmd.Start())
	go func() {
		var exit *exec.ExitError
		if err := pr.cmd.Wait(); errors.As(err, &exit) {
			pr.code = exit.ExitCode()
		} else if err != nil {
			pr.code = -2
		}
		close(pr.done)
	}()
	vm.mu.Lock()
	vm.proc = pr
	vm.starts++
	vm.mu.Unlock()
	t.Cleanup(func() {
		if !pr.exited() {
			pr.cmd.Process.Signal(syscall.SIGCONT)
			pr.cmd.Process.Kill()
			<-pr.done
		}
		if t.Failed() {
			t.Logf("end of the output of %s:\n%s", vm.set.ID, pr.out.tail(3000))
		}
	})
}

func (vm *vm) process() *process {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.proc
}

// runName identifies the VM's current process by its ID and the number of its
// starts.
func (vm *vm) runName() string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return fmt.Sprintf("%s#%d", vm.set.ID, vm.starts)
}

func (pr *process) exited() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

func (vm *vm) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, vm.process().cmd.Process.Signal(sig))
}

// kill ends the process immediately and waits until it has exited.
func (vm *vm) kill(t *testing.T) {
	t.Helper()
	results.countFault("VM killed (SIGKILL)")
	vm.signal(t, syscall.SIGKILL)
	<-vm.process().done
}

// pause stops the process until resume is called.
func (vm *vm) pause(t *testing.T) {
	t.Helper()
	results.countFault("VM paused (SIGSTOP, SIGCONT)")
	vm.signal(t, syscall.SIGSTOP)
}

func (vm *vm) resume(t *testing.T) {
	t.Helper()
	vm.signal(t, syscall.SIGCONT)
}

// terminate begins a planned stop.
func (vm *vm) terminate(t *testing.T) {
	t.Helper()
	results.countFault("planned stop (SIGTERM)")
	vm.signal(t, syscall.SIGTERM)
}

// eventTimeout bounds every wait for an event. It is long, because it only ends
// tests that have failed anyway.
const eventTimeout = 60 * time.Second

// eventually waits until a condition holds, and fails the test after eventTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("condition was never met: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
