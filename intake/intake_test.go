package intake_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/intake"
)

const (
	start  = clock.Instant(time.Hour)
	mega   = 1 << 20
	kilo   = 1 << 10
	crowd  = "10.0.0.1"
	honest = "10.0.0.2"
)

// fill begins bodies of a caller until one isn't taken, and returns those that were.
func fill(i *intake.Intake, caller string, bytes int64) []*intake.Body {
	var taken []*intake.Body
	for {
		b := i.Begin(caller, start)
		if ok, _ := i.Grow(b, bytes, start); !ok {
			i.End(b)
			return taken
		}
		taken = append(taken, b)
	}
}

// TestBodiesThatStandStillMakeRoom has a crowd leave large bodies unfinished: later ones are
// taken once those of the crowd have stood still for some time.
func TestBodiesThatStandStillMakeRoom(t *testing.T) {
	is := is.New(t)
	i := intake.New(intake.Limits{Bytes: 8 * mega})
	var standing []*intake.Body
	for n := range 8 {
		b := i.Begin(crowd, start)
		ok, displaced := i.Grow(b, mega, start.Add(time.Duration(n)))
		is.True(ok && len(displaced) == 0)
		i.Progress(b, start.Add(time.Duration(n)))
		standing = append(standing, b)
	}
	b := i.Begin(crowd, start)
	ok, _ := i.Grow(b, 2*mega, start.Add(time.Millisecond))
	is.True(!ok) // none has stood still for long enough
	ok, displaced := i.Grow(b, 2*mega, start.Add(time.Second))
	is.True(ok)
	is.Equal(displaced, standing[:2])
	is.True(standing[0].Ended() && standing[1].Ended() && !standing[2].Ended())
	is.Equal(i.Held(), int64(8*mega))
	ok, _ = i.Grow(standing[0], 2*mega, start.Add(time.Second))
	is.True(!ok) // it was refused
}

// TestWholeBodiesKeepTheirRoom has requests in progress hold all room.
func TestWholeBodiesKeepTheirRoom(t *testing.T) {
	is := is.New(t)
	i := intake.New(intake.Limits{Bytes: 4 * mega})
	whole := fill(i, crowd, mega)
	is.Equal(len(whole), 4)
	for _, b := range whole {
		i.Arrived(b)
	}
	b := i.Begin(honest, start)
	ok, _ := i.Grow(b, mega, start.Add(time.Hour))
	is.True(!ok)
	i.End(whole[0])
	ok, displaced := i.Grow(b, mega, start.Add(time.Hour))
	is.True(ok && len(displaced) == 0)
}

// TestAddressesShareTheRoom has one address fill the room with bodies that arrive steadily:
// another one gets up to as much as is left to the first.
func TestAddressesShareTheRoom(t *testing.T) {
	is := is.New(t)
	i := intake.New(intake.Limits{Bytes: 8 * mega})
	is.Equal(len(fill(i, crowd, mega)), 8) // one address may use what others leave
	is.Equal(len(fill(i, honest, mega)), 4)
	is.Equal(i.Held(), int64(8*mega))
	is.Equal(len(fill(i, "10.0.0.3", mega)), 2)
}

// TestSmallBodiesHaveTheirRoom has large bodies fill their room, and then small ones that
// stand still fill both.
func TestSmallBodiesHaveTheirRoom(t *testing.T) {
	is := is.New(t)
	i := intake.New(intake.Limits{Bytes: 4 * mega, SmallBytes: 64 * kilo})
	is.Equal(len(fill(i, crowd, mega)), 4)
	is.Equal(len(fill(i, crowd, intake.SmallBytes)), 4)
	b := i.Begin(crowd, start)
	later := start.Add(intake.StandstillTime)
	ok, displaced := i.Grow(b, 600, later)
	is.True(ok)
	is.Equal(len(displaced), 1)
	ok, _ = i.Grow(b, mega, later) // leaves the room for small ones
	is.True(ok)
	is.Equal(i.Held(), int64(4*mega+3*intake.SmallBytes))
}

// TestRoomsAreNeverOverfilled plays random bodies.
func TestRoomsAreNeverOverfilled(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(54, 1))
	limits := intake.Limits{Bytes: 4 * mega, SmallBytes: 128 * kilo}
	i := intake.New(limits)
	var bodies []*intake.Body
	for now := start; now < start.Add(20*time.Second); now = now.Add(time.Millisecond) {
		if len(bodies) == 0 || r.IntN(3) == 0 {
			bodies = append(bodies, i.Begin(fmt.Sprint(r.IntN(4)), now))
		}
		n := r.IntN(len(bodies))
		switch b := bodies[n]; r.IntN(6) {
		case 0:
			i.End(b)
			bodies = append(bodies[:n], bodies[n+1:]...)
		case 1:
			i.Arrived(b)
		case 2:
			i.Progress(b, now)
		default:
			bytes := int64(r.IntN(40 * kilo))
			if r.IntN(2) == 0 {
				bytes = int64(r.IntN(mega))
			}
			i.Grow(b, bytes, now)
		}
		is.True(i.Held() <= limits.Bytes+limits.SmallBytes)
	}
	for _, b := range bodies {
		i.End(b)
	}
	is.Equal(i.Held(), int64(0))
}
