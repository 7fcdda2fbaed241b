package cluster

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of CPU times in /proc on Linux, for the usual 100 ticks per second.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time and memory used by the process of an entry instance.
type Usage struct {
	// CPU is the CPU time in user and kernel mode since the start of the process.
	CPU time.Duration
	// System is the part of CPU in kernel mode.
	System time.Duration
	// ResidentBytes is the present resident memory in bytes.
	ResidentBytes int64
}

// Usage reads the present usage of an entry instance from /proc.
func (c *Cluster) Usage(n int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Entries[n].process.command.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// The fields after the name of the program, which is in parentheses and may contain spaces; see proc(5).
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("stat of %s: got %d fields after the name, want more than %d", c.Entries[n].Name, len(fields), resident)
	}
	values := make([]int64, 0, 3)
	for _, index := range []int{user, system, resident} {
		value, err := strconv.ParseInt(string(fields[index]), 10, 64)
		if err != nil {
			return Usage{}, err
		}
		values = append(values, value)
	}
	return Usage{
		CPU: time.Duration(values[0]+values[1]) * clockTick, System: time.Duration(values[1]) * clockTick,
		ResidentBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}
