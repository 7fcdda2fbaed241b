package cluster

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

type process struct {
	command *exec.Cmd
	input   io.WriteCloser
	ended   chan struct{}
	err     error
}

// StartEntry starts the process of an entry instance.
func (c *Cluster) StartEntry(n int) error {
	e := c.Entries[n]
	program, arguments := c.Program, []string{"entry", "--settings", e.settings}
	if c.Serve != "" {
		program, arguments = c.Serve, []string{"serve", "--settings", e.settings}
	}
	if c.Baseline {
		arguments = []string{"baseline", "--settings", e.settings, "--share", fmt.Sprint(len(c.Entries))}
	}
	p, _, err := c.start(program, arguments...)
	e.process = p
	return err
}

// start runs a program whose standard input ends with this process, so that it cannot stay behind.
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
	p := &process{command: command, input: input, ended: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.ended)
	}()
	return p, output, nil
}

type lockedWriter struct{ c *Cluster }

func (w lockedWriter) Write(text []byte) (int, error) {
	if w.c.Logs == nil {
		return len(text), nil
	}
	w.c.logs.Lock()
	defer w.c.logs.Unlock()
	return w.c.Logs.Write(text)
}

// Signal sends a signal to an entry instance.
func (c *Cluster) Signal(n int, signal syscall.Signal) error {
	return c.Entries[n].process.command.Process.Signal(signal)
}

// Wait waits for the end of an entry instance's process.
func (c *Cluster) Wait(n int, patience time.Duration) error {
	p := c.Entries[n].process
	select {
	case <-p.ended:
		return p.err
	case <-time.After(patience):
		return fmt.Errorf("%s did not end within %s", c.Entries[n].Name, patience)
	}
}

// Close ends all processes of the cluster and waits for them.
func (c *Cluster) Close() {
	all := make([]*process, 0, len(c.Entries)+1)
	for _, e := range c.Entries {
		all = append(all, e.process)
	}
	for _, p := range append(all, c.stand) {
		if p == nil {
			continue
		}
		_ = p.input.Close()
		_ = p.command.Process.Kill()
		<-p.ended
	}
	c.network.close()
	_ = os.RemoveAll(c.directory)
}
