package cluster

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// process is a process that the cluster has started. Its standard input is kept open, because the commands of
// cmd/standin exit when it ends.
type process struct {
	command *exec.Cmd
	input   io.WriteCloser
	// exited is closed when the process has exited; err is then the result of Wait.
	exited chan struct{}
	err    error
}

// StartEntry starts the process of an entry instance, also again after its end. It does not wait until the entry
// instance is ready.
func (c *Cluster) StartEntry(n int) error {
	e := c.Entries[n]
	program, arguments := c.Program, []string{"entry", "--settings", e.settingsFile}
	if c.ServeProgram != "" {
		program, arguments = c.ServeProgram, []string{"serve", "--settings", e.settingsFile}
	}
	if c.Baseline {
		arguments = []string{"baseline", "--settings", e.settingsFile, "--share", fmt.Sprint(len(c.Entries))}
	}
	p, _, err := c.start(program, arguments...)
	e.process = p
	return err
}

// start starts a program and returns its standard output. The child reads the end of its standard input when this
// process exits for any reason, so that it is not left running.
func (c *Cluster) start(program string, arguments ...string) (*process, io.Reader, error) {
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), c.Environment...)
	input, err := command.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	command.Stderr = lockedWriter{c}
	if err := command.Start(); err != nil {
		return nil, nil, err
	}
	p := &process{command: command, input: input, exited: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.exited)
	}()
	return p, output, nil
}

// lockedWriter writes to Logs of the cluster, one write at a time, or discards the text if Logs is nil.
type lockedWriter struct{ c *Cluster }

func (w lockedWriter) Write(text []byte) (int, error) {
	if w.c.Logs == nil {
		return len(text), nil
	}
	w.c.logMutex.Lock()
	defer w.c.logMutex.Unlock()
	return w.c.Logs.Write(text)
}

// Signal sends a signal to an entry instance.
func (c *Cluster) Signal(n int, signal syscall.Signal) error {
	return c.Entries[n].process.command.Process.Signal(signal)
}

// Wait waits until the process of an entry instance has exited and returns its error. It returns an error after the
// timeout.
func (c *Cluster) Wait(n int, timeout time.Duration) error {
	p := c.Entries[n].process
	select {
	case <-p.exited:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %s", c.Entries[n].Name, timeout)
	}
}

// Close kills all processes of the cluster, waits for them and removes the settings files.
func (c *Cluster) Close() {
	all := make([]*process, 0, len(c.Entries)+1)
	for _, e := range c.Entries {
		all = append(all, e.process)
	}
	for _, p := range append(all, c.standIns) {
		if p == nil {
			continue
		}
		_ = p.input.Close()
		_ = p.command.Process.Kill()
		<-p.exited
	}
	c.network.close()
	_ = os.RemoveAll(c.directory)
}
