// Package workload generates the request arrivals of the two users from a
// seed. The same seed gives the same arrivals, so that policies can be compared
// on equal input. The package does no I/O.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// Class describes one kind of request.
type Class struct {
	Name string
	// Share is the fraction of all requests in this class.
	Share float64
	// TailTokens is the length of the prompt's unshared end.
	TailTokens int
	// AnswerTokens is the length of the answer.
	AnswerTokens int
	// Deadline is the time limit for the whole answer.
	Deadline time.Duration
	// Priority orders requests on an engine; higher ones run first.
	Priority int
}

// Profile describes the requests of one user.
type Profile struct {
	Name string
	// Engines is the number of engines in the user's pool.
	Engines int
	// Accounts holds the relative rate of each client account.
	Accounts []float64
	// TenantPieces, LedgerPieces and DocumentPieces are the sizes of the
	// three shared levels.
	TenantPieces, LedgerPieces, DocumentPieces int
	// Ledgers is the number of ledgers (or programmes) of each account.
	Ledgers int
	// Skew is the exponent of the ledgers' Zipf popularity.
	Skew float64
	// DocumentUses is the mean number of requests for one document.
	DocumentUses float64
	Classes      []Class
	// Rate is the number of requests per second.
	Rate float64
	// WasteWeight is the user's setting in the routing section.
	WasteWeight float64
	// ShiftAt is when other ledgers become the popular ones; 0 means never.
	ShiftAt time.Duration
}

// Arrival is one request.
type Arrival struct {
	At      time.Duration
	Account int
	Class   Class
	// Levels are the shared levels, from the widest to the deepest.
	Levels []prefix.Level
	// Pieces are the keys of the prompt's whole pieces.
	Pieces []prefix.Key
	// Tokens is the size of the prompt.
	Tokens int
	// Random is a random number for decisions about this arrival.
	Random uint64
}

// Halvorsen returns the profile of Halvorsen: long reconciliations beside
// quick flags, on 12 engines.
func Halvorsen() Profile {
	return Profile{
		Name: "Halvorsen", Engines: 12,
		Accounts:     []float64{8, 6, 4, 1, 1, 0.7, 0.5, 0.3},
		TenantPieces: 2, LedgerPieces: 3, DocumentPieces: 2,
		Ledgers: 24, Skew: 1.1, DocumentUses: 4, Rate: 50, WasteWeight: 1,
		Classes: []Class{
			{Name: "flag", Share: 0.8, TailTokens: 300, AnswerTokens: 2, Deadline: 2 * time.Second, Priority: 5},
			{Name: "reconciliation", Share: 0.2, TailTokens: 3000, AnswerTokens: 300, Deadline: 30 * time.Second, Priority: 1},
		},
	}
}

// HviezdnaKupola returns the profile of Hviezdna Kupola: drafts beside
// bookings, on 9 engines.
func HviezdnaKupola() Profile {
	return Profile{
		Name: "Hviezdna Kupola", Engines: 9,
		Accounts:     []float64{5, 5, 3, 1, 1, 1, 0.5, 0.5},
		TenantPieces: 3, LedgerPieces: 2, DocumentPieces: 1,
		Ledgers: 16, Skew: 1.2, DocumentUses: 3, Rate: 50, WasteWeight: 0.5,
		Classes: []Class{
			{Name: "booking", Share: 0.7, TailTokens: 200, AnswerTokens: 10, Deadline: 2 * time.Second, Priority: 5},
			{Name: "draft", Share: 0.3, TailTokens: 1500, AnswerTokens: 400, Deadline: 20 * time.Second, Priority: 1},
		},
	}
}

// WithRate returns the profile with the given rate.
func (p Profile) WithRate(rate float64) Profile {
	p.Rate = rate
	return p
}

// WithShift returns the profile with a shift of the popular ledgers at a time.
func (p Profile) WithShift(at time.Duration) Profile {
	p.ShiftAt = at
	return p
}

// generator holds the state from which arrivals are drawn.
type generator struct {
	Profile

	random    *rand.Rand
	documents map[[2]int]uint64
}

// Generate returns the arrivals during a span of time.
func (p Profile) Generate(seed uint64, span time.Duration) []Arrival {
	g := generator{Profile: p, random: rand.New(rand.NewPCG(seed, uint64(len(p.Name)))), documents: map[[2]int]uint64{}}
	var arrivals []Arrival
	at := 0.0
	for {
		at += g.random.ExpFloat64() / p.Rate
		if at >= span.Seconds() {
			return arrivals
		}
		arrivals = append(arrivals, g.drawArrival(time.Duration(at*float64(time.Second))))
	}
}

// drawArrival draws one request.
func (g *generator) drawArrival(at time.Duration) Arrival {
	a := Arrival{At: at, Account: weightedIndex(g.random, g.Accounts), Random: g.random.Uint64()}
	shares := make([]float64, len(g.Classes))
	for i, c := range g.Classes {
		shares[i] = c.Share
	}
	a.Class = g.Classes[weightedIndex(g.random, shares)]
	ledger := g.drawLedger(at)
	slot := [2]int{a.Account, ledger}
	if g.random.Float64() < 1/g.DocumentUses {
		g.documents[slot]++
	}
	a.addLevel(0, uint64(a.Account)+1, g.TenantPieces)
	a.addLevel(a.Levels[0].Key, uint64(ledger)+1, g.LedgerPieces)
	a.addLevel(a.Levels[1].Key, g.documents[slot]+1, g.DocumentPieces)
	a.Tokens = a.Levels[2].Tokens + a.Class.TailTokens
	return a
}

// drawLedger draws a ledger by its popularity at the given time.
func (g *generator) drawLedger(at time.Duration) int {
	weights := make([]float64, g.Ledgers)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -g.Skew)
	}
	rank := weightedIndex(g.random, weights)
	if g.ShiftAt > 0 && at >= g.ShiftAt {
		return (rank + g.Ledgers/2) % g.Ledgers
	}
	return rank
}

// addLevel appends a level with the given number of pieces.
func (a *Arrival) addLevel(parent prefix.Key, id uint64, pieces int) {
	key := parent
	for range pieces {
		key = chainKey(key, id)
		a.Pieces = append(a.Pieces, key)
	}
	a.Levels = append(a.Levels, prefix.Level{Key: key, Piece: key, Tokens: len(a.Pieces) * prefix.PieceTokens})
}

// chainKey returns the key of a piece that follows the given key.
func chainKey(key prefix.Key, id uint64) prefix.Key {
	h := (uint64(key) ^ id) * 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return prefix.Key(h ^ h>>31)
}

// weightedIndex draws an index with a probability proportional to its weight.
func weightedIndex(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	remaining := random.Float64() * total
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}
