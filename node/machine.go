package node

import (
	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/settings"
)

// fillMachine sets what the settings of a machine leave open to what the kernel tells.
func fillMachine(m settings.Machine) (settings.Machine, error) {
	if m.MemoryMB == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return m, trace.Wrap(err, "reading the machine's memory")
		}
		m.MemoryMB = int(info.Totalram * uint64(info.Unit) >> 20)
	}
	if m.Descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return m, trace.Wrap(err, "reading the limit of descriptors")
		}
		m.Descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return m, nil
}

// maxDescriptors stands for a process without a limit.
const maxDescriptors = 1 << 20
