package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Input is an event at a host.
type Input interface{ input() }

// Tick reports the passing of time.
type Tick struct {
	// Load is this host's load level, from 0 to MaxLoad.
	Load int32
	// Urgent means that callers must learn soon of a change of Load, such as that
	// this host can't serve.
	Urgent bool
	// Position is the log offset that the configuration is folded up to.
	Position int64
}

// Received is the arrival of a message.
type Received struct{ Message Message }

// HostList is the content of the host list.
type HostList struct {
	// Hosts are the entry hosts.
	Hosts []ListedHost
	// Departing holds the names of the leaving upstreams.
	Departing []string
}

// Announce sets the addresses of this host, known once it listens.
type Announce struct{ Callers, Peers string }

// Leave starts the planned stop of this host.
type Leave struct{}

func (Tick) input()     {}
func (Received) input() {}
func (HostList) input() {}
func (Announce) input() {}
func (Leave) input()    {}

// Step returns the view after an input and the messages to send. A host
// sends nothing before its addresses are announced.
func (v View) Step(in Input, now time.Time, random *rand.Rand) (View, []Outgoing) {
	v, out := v.apply(in, now, random)
	if v.self.Identity.Peers == "" {
		return v, nil
	}
	return v, out
}

func (v View) apply(in Input, now time.Time, random *rand.Rand) (View, []Outgoing) {
	switch in := in.(type) {
	case Tick:
		return v.tick(in, now, random)
	case Received:
		return v.receive(in.Message, now)
	case HostList:
		return v.applyList(in, now)
	case Announce:
		v.self.Identity.Callers, v.self.Identity.Peers = in.Callers, in.Peers
		v.targetsOutdated = true
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

// reassert makes this host's own record override every earlier one.
func (v View) reassert() View {
	v.self.Incarnation++
	v.changes++
	return v.queue(v.self.Name, true)
}

// applyList applies the host list. It adds hosts and marks leaving ones, but
// never revives a host that failed for lack of heartbeats.
func (v View) applyList(in HostList, now time.Time) (View, []Outgoing) {
	v = v.addDepartures(in.Departing, refreshAfter, now)
	listed := make(map[string]ListedHost, len(in.Hosts))
	for _, h := range in.Hosts {
		listed[h.Name] = h
	}
	if maps.Equal(listed, v.listed) {
		return v, nil
	}
	v.listed = listed
	v.changes++
	v.targetsOutdated = true
	return v, nil
}

// tick handles a Tick: it applies the timeouts, then sends the messages that
// are due.
func (v View) tick(t Tick, now time.Time, random *rand.Rand) (View, []Outgoing) {
	if now.Sub(v.lastTick) > stallLimit {
		v = v.resetTimeouts(now)
	}
	v.pushBudget = min(pushesPerSecond, v.pushBudget+now.Sub(v.lastTick).Seconds()*pushesPerSecond)
	v.lastTick, v.position = now, t.Position
	interval := loadChangeInterval
	if t.Urgent {
		interval = urgentChangeInterval
	}
	if t.Load != v.self.Load && now.Sub(v.lastLoadChange) >= interval {
		v.self.Load, v.lastLoadChange = t.Load, now
		v = v.reassert()
	}
	v = v.expire(now).expireDepartures(now)
	var out []Outgoing
	if v.targetsOutdated {
		v, out = v.updateTargets(now)
	}
	if now.Sub(v.lastHeartbeat) < HeartbeatInterval {
		var pushed []Outgoing
		v, pushed = v.push()
		return v, append(out, pushed...)
	}
	v.lastHeartbeat = now
	v, round := v.round()
	out = append(append(append(out, round...), v.ask(now)...), v.probe(random)...)
	return v, append(out, v.introduce(random)...)
}

// introduce sends a heartbeat to a random host while some target has never sent
// a record: all targets of a host that just started may have failed, and then
// no live host would learn of it.
func (v View) introduce(random *rand.Rand) []Outgoing {
	neverSeen := func(name string) bool { return v.members[name].Incarnation == 0 }
	if !slices.ContainsFunc(v.targets, neverSeen) {
		return nil
	}
	var names []string
	for name := range v.knownNames() {
		if v.participates(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	self, _ := v.record(v.self.Name, true)
	return []Outgoing{v.messageTo(names[random.IntN(len(names))], Message{Records: []Record{self}})}
}

// resetTimeouts restarts all timeouts after this host itself was paused.
func (v View) resetTimeouts(now time.Time) View {
	v.lastSeen, v.members = maps.Clone(v.lastSeen), maps.Clone(v.members)
	for name := range v.lastSeen {
		v.lastSeen[name] = now
	}
	for name, m := range v.members {
		if m.State == Suspect {
			m.since = now
			v.members[name] = m
		}
	}
	return v
}

// expire applies the timeouts: hosts without heartbeats become suspect, suspects
// fail, and failed hosts are removed.
func (v View) expire(now time.Time) View {
	for name, seen := range v.lastSeen {
		if v.members[name].State < Suspect && now.Sub(seen) > v.timeout(name) {
			r := v.members[name].Record
			r.Name, r.State = name, Suspect
			v = v.setRecord(r, now)
		}
	}
	for name, m := range v.members {
		_, listed := v.listed[name]
		switch {
		case m.State == Suspect && now.Sub(m.since) > FailAfter:
			r := m.Record
			r.State = Failed
			v = v.setRecord(r, now)
		case m.State == Failed && !listed && now.Sub(m.since) > forgetAfter:
			v.members = maps.Clone(v.members)
			delete(v.members, name)
			v.changes++
		}
	}
	return v
}

// timeout returns how long a host may send no heartbeat.
func (v View) timeout(name string) time.Duration {
	if v.members[name].Incarnation == 0 {
		return startGrace
	}
	return SuspectAfter * time.Duration(max(1, v.timeoutFactors[name]))
}

// push sends pending changes without waiting for the next heartbeat, within the
// limit on rounds.
func (v View) push() (View, []Outgoing) {
	if len(v.pending) == 0 && len(v.pendingDepartures()) == 0 || v.pushBudget < 1 {
		return v, nil
	}
	v.pushBudget--
	return v.round()
}

// round sends one message to every target.
func (v View) round() (View, []Outgoing) {
	records, departing := v.takePending(), v.pendingDepartures()
	var out []Outgoing
	for _, name := range v.targets {
		out = append(out, v.messageTo(name, Message{Records: records, Departing: departing}))
	}
	if len(out) > 0 {
		v.pending = v.afterRound()
		v = v.countDepartureRound(departing)
	}
	return v, out
}

// ask sends a message to each watched host that is overdue. It answers if it is alive,
// even if it has not heard of this host before, and refutes a suspicion at once.
func (v View) ask(now time.Time) []Outgoing {
	var out []Outgoing
	for name, seen := range v.lastSeen {
		if now.Sub(seen) < askAfter || !v.participates(name) {
			continue
		}
		self, _ := v.record(v.self.Name, true)
		m := Message{Records: []Record{self}}
		if v.members[name].State == Suspect {
			r, _ := v.record(name, false)
			m.Records = append(m.Records, r)
		}
		o := v.messageTo(name, m)
		o.Message.Digest = 0
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Outgoing) int { return compareNames(a.To.Name, b.To.Name) })
	return out
}

// probe occasionally sends a failed host the record that marks it as failed. A
// host that is alive refutes the record, so that both sides of a healed partition
// find each other.
// All hosts together probe a failed host about twice a second, whatever their
// number.
func (v View) probe(random *rand.Rand) []Outgoing {
	var failed []string
	live := 1
	for name, m := range v.members {
		if m.State != Failed {
			live++
		} else if v.identityOf(name).Peers != "" {
			failed = append(failed, name)
		}
	}
	if len(failed) == 0 || random.Float64() > 2*float64(len(failed))/float64(live) {
		return nil
	}
	slices.Sort(failed)
	name := failed[random.IntN(len(failed))]
	r, _ := v.record(name, false)
	return []Outgoing{v.messageTo(name, Message{Records: []Record{r}})}
}

// messageTo completes a message of this host to another one.
func (v View) messageTo(name string, m Message) Outgoing {
	m.Sender, m.Position, m.Digest = v.self, v.position, v.viewDigest()
	m.Sender.Identity = Identity{}
	return Outgoing{v.identityOf(name), m}
}

// participates reports whether a host takes part in heartbeats.
func (v View) participates(name string) bool {
	return v.members[name].State != Failed && v.identityOf(name).Peers != ""
}

// updateTargets recomputes which hosts send heartbeats to each other, and sends
// a final message to former targets.
func (v View) updateTargets(now time.Time) (View, []Outgoing) {
	v.targetsOutdated = false
	hosts := []Identity{v.self.Identity}
	for name := range v.knownNames() {
		if v.participates(name) {
			hosts = append(hosts, v.identityOf(name))
		}
	}
	former := v.targets
	targets, watched := neighbors(hosts, v.self.Name)
	v.targets = targets
	lastSeen := map[string]time.Time{}
	for from := range watched {
		if last, ok := v.lastSeen[from]; ok {
			lastSeen[from] = last
		} else if !v.watched[from] {
			lastSeen[from] = now
		}
	}
	v.watched, v.lastSeen = watched, lastSeen
	var out []Outgoing
	for _, name := range former {
		if !slices.Contains(v.targets, name) && v.participates(name) {
			out = append(out, v.messageTo(name, Message{Final: true, Answer: true}))
		}
	}
	return v, out
}
