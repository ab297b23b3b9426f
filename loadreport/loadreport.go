// Package loadreport exchanges load reports between hosts several times a
// second: the load that each host puts on engines and the cached parts that it
// observed there. Reports are UDP datagrams, since losing one does no harm.
package loadreport

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Ranks is the number of priority ranks in a report; the last one includes all
// lower priorities.
const Ranks = 6

// Load is the load that one host puts on one engine.
type Load struct {
	// Running counts requests. Waiting holds, by rank, the prompt tokens of
	// the requests that have not produced output yet.
	Running int
	Waiting [Ranks]int
}

// QueuedAhead returns the waiting tokens of a rank and of all higher priorities.
func (l Load) QueuedAhead(rank int) int {
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

// DividedBy returns the load divided by n, for example the average of n engines.
// An n below 1 counts as 1.
func (l Load) DividedBy(n int) Load {
	l.Running /= max(1, n)
	for i := range l.Waiting {
		l.Waiting[i] /= max(1, n)
	}
	return l
}

// AtLeast returns the maximum of two loads, field by field.
func (l Load) AtLeast(other Load) Load {
	l.Running = max(l.Running, other.Running)
	for i := range l.Waiting {
		l.Waiting[i] = max(l.Waiting[i], other.Waiting[i])
	}
	return l
}

// Minus returns the difference of two loads, at least 0 in each field.
func (l Load) Minus(other Load) Load {
	l.Running = max(0, l.Running-other.Running)
	for i, n := range other.Waiting {
		l.Waiting[i] = max(0, l.Waiting[i]-n)
	}
	return l
}

// EngineHash identifies an engine in load reports.
type EngineHash uint32

// HashEngine returns the hash of an engine's ID.
func HashEngine(id string) EngineHash { return EngineHash(xxhash.Sum64String(id)) }

// CachedPart is a prompt part that an engine or a part store was observed to
// hold or to have evicted.
type CachedPart struct {
	Engine EngineHash
	Part   uint64
}

// AllParts stands for all parts of an engine or a part store.
const AllParts = 0

// Updates are changes that hosts report to each other.
type Updates struct {
	// Domain and Aggregator are set if an aggregator collected the updates;
	// Sequence increases with each such message of an aggregator.
	Domain, Aggregator, Sequence uint64
	// Observed are parts found in a cache, Evicted those no longer there.
	Observed, Evicted []CachedPart
	// NotListening are engines at whose addresses nothing listens.
	NotListening []EngineHash
	// Loaded are engines that were found to have newer weights loaded.
	Loaded []LoadedWeights
	// Leaving are engines that announced that they accept no more requests.
	Leaving []Leaving
	// Limits are limits that engines named, or that have ended.
	Limits []Limit
}

// Limit is the request rate that an incarnation of an engine takes from all hosts
// together.
type Limit struct {
	Engine EngineHash
	// Incarnation is the engine's start time in Unix milliseconds, 0 if unknown.
	Incarnation uint64
	// Limited is unset once the engine takes any number of requests again.
	Limited bool
	// PerSecond is the limit in requests a second, with three decimal places.
	PerSecond float64
}

// limitUnit is the unit of encoded limits, in requests a second.
const limitUnit = 0.001

// Leaving is an incarnation of an engine that accepts no more requests.
type Leaving struct {
	Engine EngineHash
	// Incarnation is the engine's start time in Unix milliseconds, 0 if unknown.
	Incarnation uint64
}

// LoadedWeights is the weights version that an engine has loaded.
type LoadedWeights struct {
	Engine  EngineHash
	Version uint64
}

// Report is the load report of one host.
type Report struct {
	// Host is the hash of the sender's name. Sequence increases with each of
	// its messages.
	Host     uint64
	Sequence uint64
	Loads    map[EngineHash]Load
	Updates
}

// Summary is the total load of the hosts of a failure domain.
type Summary struct {
	Domain, Aggregator uint64
	Sequence           uint64
	// Members are the hosts that reported lately. The list is empty if it is
	// unchanged since an earlier message; Digest identifies that list.
	Members []HostHash
	Digest  uint32
	Loads   map[EngineHash]Load
}

// HostHash identifies a host in summaries. If the hashes of two hosts collide,
// a failed one counts as alive as long as the other lives; one system of 340
// hosts in 75,000 has such a pair.
type HostHash uint32

// digest returns the hash of a sorted list of members.
func digest(members []HostHash) uint32 {
	d := xxhash.New()
	for _, m := range members {
		_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(m)))
	}
	return uint32(d.Sum64())
}

// The kinds of message; the first byte of each message is its kind.
const (
	reportKind = iota + 1
	summaryKind
	updatesKind
)

// limitsFlag is set in the kind of a message with limits. Hosts of earlier versions
// reject such messages, and read all others.
const limitsFlag = 0x80

// kindOf returns the first byte of a message with updates.
func kindOf(kind byte, u Updates) byte {
	if len(u.Limits) > 0 {
		return kind | limitsFlag
	}
	return kind
}

// errMalformed is returned for a message that can't be decoded.
var errMalformed = errors.New("malformed load report")

// Encode appends the message to a buffer.
func (r Report) Encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(append(b, kindOf(reportKind, r.Updates)), r.Host)
	b = binary.AppendUvarint(b, r.Sequence)
	return appendUpdates(appendLoads(b, r.Loads), r.Updates)
}

// Encode appends the message to a buffer.
func (s Summary) Encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(append(b, summaryKind), s.Domain)
	b = binary.BigEndian.AppendUint64(b, s.Aggregator)
	b = binary.AppendUvarint(b, s.Sequence)
	b = binary.AppendUvarint(b, uint64(len(s.Members)))
	for _, m := range s.Members {
		b = binary.BigEndian.AppendUint32(b, uint32(m))
	}
	b = binary.BigEndian.AppendUint32(b, s.Digest)
	return appendLoads(b, s.Loads)
}

// Encode appends the message to a buffer.
func (u Updates) Encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(append(b, kindOf(updatesKind, u)), u.Domain)
	b = binary.BigEndian.AppendUint64(b, u.Aggregator)
	return appendUpdates(binary.AppendUvarint(b, u.Sequence), u)
}

// maxInlineRunning is the largest number of running requests in the first byte of
// an encoded load; it means that the actual number follows as a varint. The lower
// bits of that byte hold one bit per rank, set if tokens of the rank are waiting.
// The waiting tokens of these ranks come last.
const maxInlineRunning = 1<<(8-Ranks) - 1

func appendLoads(b []byte, loads map[EngineHash]Load) []byte {
	b = binary.AppendUvarint(b, uint64(len(loads)))
	for e, l := range loads {
		b = binary.BigEndian.AppendUint32(b, uint32(e))
		running := max(0, l.Running)
		first := byte(min(running, maxInlineRunning)) << Ranks
		for rank, n := range l.Waiting {
			if n > 0 {
				first |= 1 << rank
			}
		}
		b = append(b, first)
		if running >= maxInlineRunning {
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

func appendUpdates(b []byte, u Updates) []byte {
	b = appendParts(appendParts(b, u.Observed), u.Evicted)
	b = binary.AppendUvarint(b, uint64(len(u.NotListening)))
	for _, e := range u.NotListening {
		b = binary.BigEndian.AppendUint32(b, uint32(e))
	}
	b = binary.AppendUvarint(b, uint64(len(u.Loaded)))
	for _, l := range u.Loaded {
		b = binary.BigEndian.AppendUint32(b, uint32(l.Engine))
		b = binary.AppendUvarint(b, l.Version)
	}
	b = binary.AppendUvarint(b, uint64(len(u.Leaving)))
	for _, l := range u.Leaving {
		b = binary.BigEndian.AppendUint32(b, uint32(l.Engine))
		b = binary.AppendUvarint(b, l.Incarnation)
	}
	if len(u.Limits) == 0 {
		return b
	}
	b = binary.AppendUvarint(b, uint64(len(u.Limits)))
	for _, l := range u.Limits {
		b = binary.BigEndian.AppendUint32(b, uint32(l.Engine))
		b = binary.AppendUvarint(b, l.Incarnation)
		encoded := uint64(0) // not limited
		if l.Limited {
			encoded = 1 + uint64(math.Round(max(0, l.PerSecond)/limitUnit))
		}
		b = binary.AppendUvarint(b, encoded)
	}
	return b
}

func appendParts(b []byte, list []CachedPart) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, p := range list {
		b = binary.BigEndian.AppendUint32(b, uint32(p.Engine))
		b = binary.BigEndian.AppendUint64(b, p.Part)
	}
	return b
}

// decoder reads values from a message.
type decoder struct {
	b         []byte
	malformed bool
}

func (d *decoder) take(n int) []byte {
	if len(d.b) < n {
		d.malformed = true
		return make([]byte, n)
	}
	value := d.b[:n]
	d.b = d.b[n:]
	return value
}

func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }

func (d *decoder) uint32() uint32 { return binary.BigEndian.Uint32(d.take(4)) }

func (d *decoder) engine() EngineHash { return EngineHash(d.uint32()) }

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.malformed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) loads() map[EngineHash]Load {
	loads := map[EngineHash]Load{}
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		e := d.engine()
		first := d.take(1)[0]
		l := Load{Running: int(first >> Ranks)}
		if l.Running == maxInlineRunning {
			l.Running = int(d.uvarint())
		}
		for rank := range l.Waiting {
			if first&(1<<rank) != 0 {
				l.Waiting[rank] = int(d.uvarint())
			}
		}
		loads[e] = l
	}
	return loads
}

func (d *decoder) parts() []CachedPart {
	var list []CachedPart
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		list = append(list, CachedPart{d.engine(), d.uint64()})
	}
	return list
}

func (d *decoder) updates(withLimits bool) Updates {
	u := Updates{Observed: d.parts(), Evicted: d.parts()}
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		u.NotListening = append(u.NotListening, d.engine())
	}
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		u.Loaded = append(u.Loaded, LoadedWeights{d.engine(), d.uvarint()})
	}
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		u.Leaving = append(u.Leaving, Leaving{d.engine(), d.uvarint()})
	}
	if !withLimits {
		return u
	}
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		l := Limit{Engine: d.engine(), Incarnation: d.uvarint()}
		if encoded := d.uvarint(); encoded > 0 {
			l.Limited, l.PerSecond = true, float64(encoded-1)*limitUnit
		}
		u.Limits = append(u.Limits, l)
	}
	return u
}

// Decode decodes a message: a Report, a Summary or Updates.
func Decode(b []byte) (any, error) {
	d := &decoder{b: b}
	var message any
	kind := d.take(1)[0]
	withLimits := kind&limitsFlag != 0
	switch kind &^ limitsFlag {
	case reportKind:
		message = Report{Host: d.uint64(), Sequence: d.uvarint(), Loads: d.loads(), Updates: d.updates(withLimits)}
	case summaryKind:
		s := Summary{Domain: d.uint64(), Aggregator: d.uint64(), Sequence: d.uvarint()}
		for n := d.uvarint(); n > 0 && !d.malformed; n-- {
			s.Members = append(s.Members, HostHash(d.uint32()))
		}
		s.Digest = d.uint32()
		s.Loads = d.loads()
		message = s
	case updatesKind:
		domain, aggregator, sequence := d.uint64(), d.uint64(), d.uvarint()
		u := d.updates(withLimits)
		u.Domain, u.Aggregator, u.Sequence = domain, aggregator, sequence
		message = u
	default:
		return nil, errMalformed
	}
	if d.malformed || len(d.b) > 0 {
		return nil, errMalformed
	}
	return message, nil
}
