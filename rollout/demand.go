// Package rollout decides the orders to engines: which weights, adapters and
// role they load, and which of them leave.
//
// The demand follows from the configuration document alone, so that any two
// hosts derive the same demand with the same fencing number, and a newer
// document never gives a smaller number. One host owns each pool; if two hosts
// assume that they own it, they derive the same orders from the same reports.
// The package does no I/O.
package rollout

import (
	"slices"
	"strings"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/placement"
)

// Engine is an engine and its desired role and state.
type Engine struct {
	Name, Address string
	// ChecksFence marks an engine that rejects orders with an older fencing
	// number.
	ChecksFence bool
	// Role is the desired role, or "" for any.
	Role string
	// Leave makes the engine finish its requests and accept no more.
	Leave bool
}

// Demand is the desired state of one pool of engines.
type Demand struct {
	Pool string
	// Version is the version of the weights in force.
	Version string
	// From is the previous version, which may still serve while engines load, or
	// "".
	From string
	// Adapters are the adapters that every engine should have loaded.
	Adapters []string
	// Fence is the fencing number of every order for this demand.
	Fence int64
	// Paused holds back every order to load.
	Paused bool
	// Interrupt lets the last ready engine load.
	Interrupt bool
	// Engines lists the engines in load order.
	Engines []Engine
	// Conflict is the reason why the demand can't be met, or "".
	Conflict string
}

// Demands returns the demand for every engine pool that a model uses. The fence
// is the greatest revision of the document sections that demands depend on.
func Demands(doc document.Document, fence int64) []Demand {
	var demands []Demand
	for _, p := range doc.Capacity.Pools {
		if p.Kind != document.EnginePool {
			continue
		}
		d := Demand{Pool: p.Name, Fence: fence, Engines: engines(p)}
		for _, m := range doc.Models.Models {
			if m.Pool == p.Name {
				d = d.withModel(m)
			}
		}
		if d.Version != "" {
			demands = append(demands, d)
		}
	}
	return demands
}

// withModel adds a model that the pool runs.
func (d Demand) withModel(m document.Model) Demand {
	if d.Version != "" && d.Version != m.Version {
		d.Conflict = "the pool's models want different versions"
	}
	d.Version, d.From = m.Version, m.From
	d.Paused = d.Paused || m.Paused
	d.Interrupt = d.Interrupt || m.Interrupt
	adapters := append(slices.Clone(d.Adapters), m.Adapters...)
	slices.Sort(adapters)
	d.Adapters = slices.Compact(adapters)
	return d
}

// engines returns the engines of a pool in load order, which is the same on
// every host.
func engines(p document.Pool) []Engine {
	byName := map[string]Engine{}
	var names []string
	for _, u := range p.Upstreams {
		byName[u.Name] = Engine{Name: u.Name, Address: u.Address, ChecksFence: u.ChecksFence, Role: u.Role, Leave: u.Leave}
		names = append(names, u.Name)
	}
	var ordered []Engine
	for _, name := range placement.Rank(p.Name, names) {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

// Report is an engine's status report.
type Report struct {
	// Reachable reports whether the report is recent.
	Reachable bool
	Version   string
	Adapters  []string
	Role      string
	// Loading reports whether the engine loads and accepts no requests.
	Loading bool
	Leaving bool
	// Fence is the greatest fencing number that the engine has seen; 0 when
	// it doesn't check.
	Fence int64
}

// Kind is the kind of an order.
type Kind string

// The kinds of order.
const (
	// Load loads the version of the order.
	Load Kind = "Load"
	// LoadAdapter adds the adapter of the order.
	LoadAdapter Kind = "LoadAdapter"
	// SetRole sets the role.
	SetRole Kind = "SetRole"
	// Leave makes the engine accept no new requests.
	Leave Kind = "Leave"
)

// Order is one order to an engine.
type Order struct {
	Kind Kind
	// Version, Adapter and Role are set for the kinds that use them.
	Version, Adapter, Role string `json:",omitempty"`
	// Fence is the order's fencing number.
	Fence int64
}

// next returns the order that the engine needs first.
func (d Demand) next(e Engine, r Report) (Order, bool) {
	order := Order{Fence: d.Fence}
	missing := slices.IndexFunc(d.Adapters, func(a string) bool { return !slices.Contains(r.Adapters, a) })
	switch {
	case e.Leave:
		order.Kind = Leave
		return order, !r.Leaving
	case r.Leaving:
		return Order{}, false
	case e.Role != "" && !strings.EqualFold(e.Role, r.Role):
		order.Kind, order.Role = SetRole, e.Role
	case r.Version != d.Version:
		order.Kind, order.Version = Load, d.Version
	case missing >= 0:
		order.Kind, order.Adapter = LoadAdapter, d.Adapters[missing]
	default:
		return Order{}, false
	}
	return order, true
}

// interrupts reports whether an engine accepts no requests while it executes
// the order.
func (o Order) interrupts() bool { return o.Kind == Load || o.Kind == SetRole }
