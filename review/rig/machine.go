package rig

import (
	"sync"
	"time"
)

// measureInterval is the interval between two measurements of a process's memory.
const measureInterval = 5 * time.Millisecond

// Machine kills a router that exceeds its memory, as the platform's machines do.
type Machine struct {
	peak int64
	end  chan struct{}
	done sync.WaitGroup
}

// Watch begins to watch a router.
func (d *Deployment) Watch(r *Router) *Machine {
	m := &Machine{end: make(chan struct{})}
	limit := int64(d.MemoryMB) << 20
	m.done.Go(func() {
		for {
			select {
			case <-m.end:
				return
			case <-time.After(measureInterval):
			}
			if m.peak = max(m.peak, ResidentBytes(r.Pid)); m.peak > limit {
				d.Record("the machine kills the process, which holds %d MB", m.peak>>20)
				r.Kill()
				return
			}
		}
	})
	return m
}

// Stop ends the watch and returns the largest memory that was measured, in bytes.
func (m *Machine) Stop() (peak int64) {
	close(m.end)
	m.done.Wait()
	return m.peak
}
