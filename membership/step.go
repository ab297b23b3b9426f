package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Input is something that happened to a host.
type Input interface{ input() }

// Tick tells that time has passed.
type Tick struct {
	// Load is this host's level of load, from 0 to MaxLoad.
	Load int32
	// Position is the log offset that the configuration is folded up to.
	Position int64
}

// Received is a message that arrived.
type Received struct{ Message Message }

// HostList is an answer of the host list.
type HostList struct {
	// Hosts are the entry hosts.
	Hosts []Listed
	// Departing names the upstreams that leave.
	Departing []string
}

// Announce tells the addresses of this host, known once it listens.
type Announce struct{ Callers, Peers string }

// Leave begins the planned stop of this host.
type Leave struct{}

func (Tick) input()     {}
func (Received) input() {}
func (HostList) input() {}
func (Announce) input() {}
func (Leave) input()    {}

// Step returns the view after an input and the messages to send. A host
// sends nothing before its addresses are announced.
func (v View) Step(in Input, now time.Time, random *rand.Rand) (View, []Outgoing) {
	v, out := v.step(in, now, random)
	if v.self.Identity.Peers == "" {
		return v, nil
	}
	return v, out
}

func (v View) step(in Input, now time.Time, random *rand.Rand) (View, []Outgoing) {
	switch in := in.(type) {
	case Tick:
		return v.tick(in, now, random)
	case Received:
		return v.receive(in.Message, now)
	case HostList:
		return v.list(in, now)
	case Announce:
		v.self.Identity.Callers, v.self.Identity.Peers = in.Callers, in.Peers
		v.stale = true
		return v.reassert(), nil
	case Leave:
		if v.self.State == Live {
			v.self.State = Leaving
			v = v.reassert()
		}
		return v.push()
	}
	return v, nil
}

// reassert makes this host's word on itself override every earlier one.
func (v View) reassert() View {
	v.self.Incarnation++
	v.changes++
	return v.queue(v.self.Name, true)
}

// list takes over an answer of the host list. It adds hosts and tells who is
// leaving; it never says that a host is live that heartbeats know as failed.
func (v View) list(in HostList, now time.Time) (View, []Outgoing) {
	v = v.depart(in.Departing, refreshAfter, now)
	listed := make(map[string]Listed, len(in.Hosts))
	for _, h := range in.Hosts {
		listed[h.Name] = h
	}
	if maps.Equal(listed, v.listed) {
		return v, nil
	}
	v.listed = listed
	v.changes++
	v.stale = true
	return v, nil
}

// tick passes time: it suspects, fails and forgets, then sends what is due.
func (v View) tick(t Tick, now time.Time, random *rand.Rand) (View, []Outgoing) {
	if now.Sub(v.ticked) > stallLimit {
		v = v.excuse(now)
	}
	v.pushes = min(pushesPerSecond, v.pushes+now.Sub(v.ticked).Seconds()*pushesPerSecond)
	v.ticked, v.position = now, t.Position
	if t.Load != v.self.Load && now.Sub(v.loaded) >= loadInterval {
		v.self.Load, v.loaded = t.Load, now
		v = v.reassert()
	}
	v = v.expire(now).expireDepartures(now)
	var out []Outgoing
	if v.stale {
		v, out = v.connect(now)
	}
	if now.Sub(v.beat) < HeartbeatInterval {
		var pushed []Outgoing
		v, pushed = v.push()
		return v, append(out, pushed...)
	}
	v.beat = now
	v, round := v.round()
	out = append(append(out, round...), v.probe(random)...)
	return v, append(out, v.introduce(random)...)
}

// introduce sends a heartbeat to any host while a target was never heard of:
// the targets of a host that just started may all be dead, and then nobody
// would know it.
func (v View) introduce(random *rand.Rand) []Outgoing {
	unheard := func(name string) bool { return v.members[name].Incarnation == 0 }
	if !slices.ContainsFunc(v.targets, unheard) {
		return nil
	}
	var names []string
	for name := range v.names() {
		if v.connects(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	self, _ := v.record(v.self.Name, true)
	return []Outgoing{v.to(names[random.IntN(len(names))], Message{Records: []Record{self}})}
}

// excuse forgets the silence of others after this host itself was paused.
func (v View) excuse(now time.Time) View {
	v.heard, v.members = maps.Clone(v.heard), maps.Clone(v.members)
	for name := range v.heard {
		v.heard[name] = now
	}
	for name, m := range v.members {
		if m.State == Suspect {
			m.since = now
			v.members[name] = m
		}
	}
	return v
}

// expire moves silent hosts on: to suspect, to failed, to forgotten.
func (v View) expire(now time.Time) View {
	for name, heard := range v.heard {
		if v.members[name].State < Suspect && now.Sub(heard) > v.limit(name) {
			r := v.members[name].Record
			r.Name, r.State = name, Suspect
			v = v.store(r, now)
		}
	}
	for name, m := range v.members {
		_, listed := v.listed[name]
		switch {
		case m.State == Suspect && now.Sub(m.since) > FailAfter:
			r := m.Record
			r.State = Failed
			v = v.store(r, now)
		case m.State == Failed && !listed && now.Sub(m.since) > forgetAfter:
			v.members = maps.Clone(v.members)
			delete(v.members, name)
			v.changes++
		}
	}
	return v
}

// limit returns how long a host may be silent.
func (v View) limit(name string) time.Duration {
	if v.members[name].Incarnation == 0 {
		return startGrace
	}
	return SuspectAfter * time.Duration(max(1, v.patience[name]))
}

// push sends pending changes at once, within the bound on rounds.
func (v View) push() (View, []Outgoing) {
	if len(v.pending) == 0 && len(v.news()) == 0 || v.pushes < 1 {
		return v, nil
	}
	v.pushes--
	return v.round()
}

// round sends one message to every target.
func (v View) round() (View, []Outgoing) {
	records, departing := v.takePending(), v.news()
	var out []Outgoing
	for _, name := range v.targets {
		out = append(out, v.to(name, Message{Records: records, Departing: departing}))
	}
	if len(out) > 0 {
		v.pending = v.afterRound()
		v = v.told(departing)
	}
	return v, out
}

// probe tells a failed host now and then what is believed of it, so that it
// refutes if it lives and both sides of a healed cut find each other. All hosts together probe a failed host
// about twice a second, whatever their number.
func (v View) probe(random *rand.Rand) []Outgoing {
	var failed []string
	live := 1
	for name, m := range v.members {
		if m.State != Failed {
			live++
		} else if v.identity(name).Peers != "" {
			failed = append(failed, name)
		}
	}
	if len(failed) == 0 || random.Float64() > 2*float64(len(failed))/float64(live) {
		return nil
	}
	slices.Sort(failed)
	name := failed[random.IntN(len(failed))]
	r, _ := v.record(name, false)
	return []Outgoing{v.to(name, Message{Records: []Record{r}})}
}

// to addresses a message of this host.
func (v View) to(name string, m Message) Outgoing {
	m.Sender, m.Position, m.Digest = v.self, v.position, v.sum()
	m.Sender.Identity = Identity{}
	return Outgoing{v.identity(name), m}
}

// connects tells whether a host takes part in heartbeats.
func (v View) connects(name string) bool {
	return v.members[name].State != Failed && v.identity(name).Peers != ""
}

// connect computes anew who sends heartbeats to whom, and tells former
// targets that they won't hear from this host.
func (v View) connect(now time.Time) (View, []Outgoing) {
	v.stale = false
	hosts := []Identity{v.self.Identity}
	for name := range v.names() {
		if v.connects(name) {
			hosts = append(hosts, v.identity(name))
		}
	}
	all := edges(hosts)
	former := v.targets
	v.targets = all[v.self.Name]
	watched, heard := map[string]bool{}, map[string]time.Time{}
	for from, to := range all {
		if !slices.Contains(to, v.self.Name) {
			continue
		}
		watched[from] = true
		if last, ok := v.heard[from]; ok {
			heard[from] = last
		} else if !v.watched[from] {
			heard[from] = now
		}
	}
	v.watched, v.heard = watched, heard
	var out []Outgoing
	for _, name := range former {
		if !slices.Contains(v.targets, name) && v.connects(name) {
			out = append(out, v.to(name, Message{Final: true, Answer: true}))
		}
	}
	return v, out
}
