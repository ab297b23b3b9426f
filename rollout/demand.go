// Package rollout decides the orders to engines: which weights, adapters and
// role they load, and which of them leave.
//
// What is wanted follows from the configuration document alone, so that any
// two hosts derive the same demand with the same fencing number, and a newer
// document gives a number that is no smaller. One host keeps each pool; two
// that both believe they do derive the same orders from the same reports.
// The package does no I/O.
package rollout

import (
	"slices"
	"strings"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/placement"
)

// Engine is an engine and what is wanted of it.
type Engine struct {
	Name, Address string
	// ChecksFence tells that the engine refuses orders with an old number.
	ChecksFence bool
	// Role is the role wanted, or "" for any.
	Role string
	// Leave tells that the engine should finish what it has and take no more.
	Leave bool
}

// Demand is what the document wants of one pool of engines.
type Demand struct {
	Pool string
	// Version names the weights in force.
	Version string
	// From names weights that may still serve while engines load, or "".
	From string
	// Adapters are wanted on every engine.
	Adapters []string
	// Fence is the fencing number of every order for this demand.
	Fence int64
	// Paused holds back every order to load.
	Paused bool
	// Interrupt lets the last ready engine load.
	Interrupt bool
	// Engines are in the order in which they load.
	Engines []Engine
	// Conflict tells why the document can't be carried out, or is "".
	Conflict string
}

// Demands returns what a document wants of its pools of engines that models
// name. The fence is the greatest revision of the sections that it follows
// from.
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

// withModel returns the demand with a model that the pool runs.
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

// engines returns the engines of a pool in the order in which they load,
// which is the same on every host.
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

// Report is what an engine tells of itself.
type Report struct {
	// Reachable tells that the report is recent.
	Reachable bool
	Version   string
	Adapters  []string
	Role      string
	// Loading tells that the engine loads and takes no requests.
	Loading bool
	Leaving bool
	// Fence is the greatest fencing number that the engine has seen; 0 when
	// it doesn't check.
	Fence int64
}

// Kind is what an order is for.
type Kind string

// The kinds of order.
const (
	// Load loads the version of the order.
	Load Kind = "Load"
	// LoadAdapter adds the adapter of the order.
	LoadAdapter Kind = "LoadAdapter"
	// SetRole changes the role.
	SetRole Kind = "SetRole"
	// Leave ends new work on the engine.
	Leave Kind = "Leave"
)

// Order is one order to an engine.
type Order struct {
	Kind Kind
	// Version, Adapter and Role are set for the kinds that need them.
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

// interrupts tells whether an engine takes no requests while it carries out
// the order.
func (o Order) interrupts() bool { return o.Kind == Load || o.Kind == SetRole }
