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

// unreplacedHosts describes the hosts that should have been replaced and were not.
func (d *deployment) unreplacedHosts(o Options) []string {
	var found []string
	for _, h := range d.hosts {
		if o.Older != "" && !h.replaced {
			found = append(found, h.name+" was not replaced")
		}
	}
	return found
}

// planReplacements returns when each host is replaced by one with the other build, if
// there is one: one after the other, in the time in which there are faults.
func planReplacements(o Options) []Fault {
	begin, end := time.Duration(leadShare*float64(o.Span)), time.Duration((1-recoveryShare)*float64(o.Span))
	var faults []Fault
	for i := 0; i < o.Hosts && o.Older != ""; i++ {
		faults = append(faults, Fault{At: begin + (end-begin)*time.Duration(i)/time.Duration(o.Hosts), Kind: ReplaceHost, Target: i})
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
