package soak

import "time"

// build is a program with the settings that it reads.
type build struct{ program, settings string }

// use has the next start of the process run another build.
func (p *process) use(b build) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build, p.replaced = b, true
}

// unreplacedHost describes a host that still runs its first build, or returns "".
func (d *deployment) unreplacedHost() string {
	for _, h := range d.hosts {
		if !h.replaced {
			return h.name + " was not replaced"
		}
	}
	return ""
}

// planReplacements returns when each host is replaced by one with the other build: one
// after the other, in the time in which there are faults.
func planReplacements(hosts int, span time.Duration) []Fault {
	begin, end := time.Duration(leadShare*float64(span)), time.Duration((1-recoveryShare)*float64(span))
	var faults []Fault
	for i := range hosts {
		faults = append(faults, Fault{At: begin + (end-begin)*time.Duration(i)/time.Duration(hosts), Kind: ReplaceHost, Target: i})
	}
	return faults
}

// replaceHost stops a host and starts it with its other build, after the fault that
// the host may have just now.
func (fi *faultInjector) replaceHost(f Fault, h *host) {
	fi.await(recoveryTimeout, func() bool {
		if _, busy := fi.restarting.LoadOrStore(h, true); busy {
			return false
		}
		defer fi.restarting.Delete(h)
		fi.restart(f, h)
		return true
	})
}
