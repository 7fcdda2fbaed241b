package cluster

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Usage is what the process of an entry instance has used so far.
type Usage struct {
	Processor time.Duration
	// System is the share of Processor that the kernel used.
	System time.Duration
	// Resident is the memory in use now.
	Resident int64
}

// Usage reads what an entry instance uses.
func (c *Cluster) Usage(n int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Entries[n].process.command.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// The fields after the program's name, which stands in brackets and may hold spaces.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("%d fields in the process's stat", len(fields))
	}
	numbers := make([]int64, 0, 3)
	for _, at := range []int{user, system, resident} {
		number, err := strconv.ParseInt(string(fields[at]), 10, 64)
		if err != nil {
			return Usage{}, err
		}
		numbers = append(numbers, number)
	}
	return Usage{
		Processor: time.Duration(numbers[0]+numbers[1]) * clockTick, System: time.Duration(numbers[1]) * clockTick,
		Resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
