// Package loadreport lets hosts tell each other many times a second what they have
// at engines and which cached parts they saw there. A pulse that is lost does
// no harm, so they go as datagrams.
package loadreport

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Ranks is how many ranks of urgency are told apart; the last stands for all
// that are less urgent.
const Ranks = 6

// Load is what one host has at one engine.
type Load struct {
	// Running counts requests, Waiting by rank the prompt tokens of those
	// that have not begun to answer.
	Running int
	Waiting [Ranks]int
}

// Ahead returns the waiting tokens that are as urgent as a rank or more.
func (l Load) Ahead(rank int) int {
	sum := 0
	for _, n := range l.Waiting[:min(rank, Ranks-1)+1] {
		sum += n
	}
	return sum
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	l.Running += other.Running
	for i, n := range other.Waiting {
		l.Waiting[i] += n
	}
	return l
}

// Share returns the part of a load that one of some has on average.
func (l Load) Share(of int) Load {
	l.Running /= max(1, of)
	for i := range l.Waiting {
		l.Waiting[i] /= max(1, of)
	}
	return l
}

// AtLeast returns the load, raised to another where it is below.
func (l Load) AtLeast(least Load) Load {
	l.Running = max(l.Running, least.Running)
	for i := range l.Waiting {
		l.Waiting[i] = max(l.Waiting[i], least.Waiting[i])
	}
	return l
}

// Minus returns what is left of a load without another.
func (l Load) Minus(other Load) Load {
	l.Running = max(0, l.Running-other.Running)
	for i, n := range other.Waiting {
		l.Waiting[i] = max(0, l.Waiting[i]-n)
	}
	return l
}

// Engine is the short name of an engine in pulses.
type Engine uint32

// Short returns the short name of an engine.
func Short(id string) Engine { return Engine(xxhash.Sum64String(id)) }

// Sighting tells that an engine or a store of parts held a cached part, or
// that it dropped it.
type Sighting struct {
	Engine Engine
	Part   uint64
}

// AllParts stands for all that an engine or a store held.
const AllParts = 0

// News are sightings on their way.
type News struct {
	// Domain and Gatherer are where they were gathered, if they were; Number
	// grows with each such message of a gatherer.
	Domain, Gatherer, Number uint64
	// Seen are parts that were held, Dropped those that no longer are.
	Seen, Dropped []Sighting
	// Down are engines at whose addresses nobody listens.
	Down []Engine
	// Loaded are engines that were found to have newer weights.
	Loaded []Loaded
	// Leaving are engines that said that they take no more requests.
	Leaving []Leaving
}

// Leaving tells which start of an engine takes no more requests.
type Leaving struct {
	Engine Engine
	// Start is the time of day of its start in Unix milliseconds, 0 if unknown.
	Start uint64
}

// Loaded tells the number of weights that an engine has.
type Loaded struct {
	Engine Engine
	Number uint64
}

// Pulse is what one host tells.
type Pulse struct {
	// Host is the short name of the sender, Number grows with each of its
	// messages.
	Host   uint64
	Number uint64
	Loads  map[Engine]Load
	News
}

// Summary is what the hosts of a failure domain have together.
type Summary struct {
	Domain, Gatherer uint64
	Number           uint64
	// Members are the hosts that were heard of lately, none in a message that
	// tells by Digest alone that they are those told before.
	Members []Member
	Digest  uint32
	Loads   map[Engine]Load
}

// Member is the short name of a host in summaries. If two hosts share one, a
// silent one counts as alive; one system of 340 hosts in 75,000 has such a pair.
type Member uint32

// digest returns a number for a sorted list of members.
func digest(members []Member) uint32 {
	d := xxhash.New()
	for _, m := range members {
		_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(m)))
	}
	return uint32(d.Sum64())
}

// The kinds of message, as its first byte.
const (
	pulseKind = iota + 1
	summaryKind
	newsKind
)

// errDamaged is returned for a message that can't be read.
var errDamaged = errors.New("a pulse is damaged")

// Encode appends the message to a buffer.
func (p Pulse) Encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(append(b, pulseKind), p.Host)
	b = binary.AppendUvarint(b, p.Number)
	return appendNews(appendLoads(b, p.Loads), p.News)
}

// Encode appends the message to a buffer.
func (s Summary) Encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(append(b, summaryKind), s.Domain)
	b = binary.BigEndian.AppendUint64(b, s.Gatherer)
	b = binary.AppendUvarint(b, s.Number)
	b = binary.AppendUvarint(b, uint64(len(s.Members)))
	for _, m := range s.Members {
		b = binary.BigEndian.AppendUint32(b, uint32(m))
	}
	b = binary.BigEndian.AppendUint32(b, s.Digest)
	return appendLoads(b, s.Loads)
}

// Encode appends the message to a buffer.
func (n News) Encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(append(b, newsKind), n.Domain)
	b = binary.BigEndian.AppendUint64(b, n.Gatherer)
	return appendNews(binary.AppendUvarint(b, n.Number), n)
}

// A load is written as a byte that tells which ranks wait, in its lower bits,
// and how many requests run, above them; manyRunning stands for a number that
// follows. The tokens of the ranks that wait come last.
const manyRunning = 1<<(8-Ranks) - 1

func appendLoads(b []byte, loads map[Engine]Load) []byte {
	b = binary.AppendUvarint(b, uint64(len(loads)))
	for e, l := range loads {
		b = binary.BigEndian.AppendUint32(b, uint32(e))
		running := max(0, l.Running)
		first := byte(min(running, manyRunning)) << Ranks
		for rank, n := range l.Waiting {
			if n > 0 {
				first |= 1 << rank
			}
		}
		b = append(b, first)
		if running >= manyRunning {
			b = binary.AppendUvarint(b, uint64(running))
		}
		for _, n := range l.Waiting {
			if n > 0 {
				b = binary.AppendUvarint(b, uint64(n))
			}
		}
	}
	return b
}

func appendNews(b []byte, n News) []byte {
	b = appendSightings(appendSightings(b, n.Seen), n.Dropped)
	b = binary.AppendUvarint(b, uint64(len(n.Down)))
	for _, e := range n.Down {
		b = binary.BigEndian.AppendUint32(b, uint32(e))
	}
	b = binary.AppendUvarint(b, uint64(len(n.Loaded)))
	for _, l := range n.Loaded {
		b = binary.BigEndian.AppendUint32(b, uint32(l.Engine))
		b = binary.AppendUvarint(b, l.Number)
	}
	b = binary.AppendUvarint(b, uint64(len(n.Leaving)))
	for _, l := range n.Leaving {
		b = binary.BigEndian.AppendUint32(b, uint32(l.Engine))
		b = binary.AppendUvarint(b, l.Start)
	}
	return b
}

func appendSightings(b []byte, list []Sighting) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = binary.BigEndian.AppendUint32(b, uint32(s.Engine))
		b = binary.BigEndian.AppendUint64(b, s.Part)
	}
	return b
}

// reader takes values off a message.
type reader struct {
	b       []byte
	damaged bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.damaged = true
		return make([]byte, n)
	}
	taken := r.b[:n]
	r.b = r.b[n:]
	return taken
}

func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

func (r *reader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *reader) engine() Engine { return Engine(r.uint32()) }

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.damaged = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) loads() map[Engine]Load {
	loads := map[Engine]Load{}
	for n := r.uvarint(); n > 0 && !r.damaged; n-- {
		e := r.engine()
		first := r.take(1)[0]
		l := Load{Running: int(first >> Ranks)}
		if l.Running == manyRunning {
			l.Running = int(r.uvarint())
		}
		for rank := range l.Waiting {
			if first&(1<<rank) != 0 {
				l.Waiting[rank] = int(r.uvarint())
			}
		}
		loads[e] = l
	}
	return loads
}

func (r *reader) sightings() []Sighting {
	var list []Sighting
	for n := r.uvarint(); n > 0 && !r.damaged; n-- {
		list = append(list, Sighting{r.engine(), r.uint64()})
	}
	return list
}

func (r *reader) news() News {
	n := News{Seen: r.sightings(), Dropped: r.sightings()}
	for left := r.uvarint(); left > 0 && !r.damaged; left-- {
		n.Down = append(n.Down, r.engine())
	}
	for left := r.uvarint(); left > 0 && !r.damaged; left-- {
		n.Loaded = append(n.Loaded, Loaded{r.engine(), r.uvarint()})
	}
	for left := r.uvarint(); left > 0 && !r.damaged; left-- {
		n.Leaving = append(n.Leaving, Leaving{r.engine(), r.uvarint()})
	}
	return n
}

// Decode reads a message: a Pulse, a Summary or News.
func Decode(b []byte) (any, error) {
	r := &reader{b: b}
	var message any
	switch r.take(1)[0] {
	case pulseKind:
		message = Pulse{Host: r.uint64(), Number: r.uvarint(), Loads: r.loads(), News: r.news()}
	case summaryKind:
		s := Summary{Domain: r.uint64(), Gatherer: r.uint64(), Number: r.uvarint()}
		for left := r.uvarint(); left > 0 && !r.damaged; left-- {
			s.Members = append(s.Members, Member(r.uint32()))
		}
		s.Digest = r.uint32()
		s.Loads = r.loads()
		message = s
	case newsKind:
		domain, gatherer, number := r.uint64(), r.uint64(), r.uvarint()
		n := r.news()
		n.Domain, n.Gatherer, n.Number = domain, gatherer, number
		message = n
	default:
		return nil, errDamaged
	}
	if r.damaged || len(r.b) > 0 {
		return nil, errDamaged
	}
	return message, nil
}
