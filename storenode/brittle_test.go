package storenode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBrittleEnginesAreNotFilled sends more requests than brittle engines have room
// for. They may reject only a few in each second.
func TestBrittleEnginesAreNotFilled(t *testing.T) {
	is := is.New(t)
	const slots, waiting, limit, learnTime, span = 12, 4, 5, 3 * time.Second, 4 * time.Second
	d := newDeployment(t, 3, 2, 0)
	for _, e := range d.engines {
		e.Slots = slots
		d.store.Register(e)
		e.Pace(60 * time.Millisecond)
	}
	stop := d.load(modelHost, "/full/", 150)
	time.Sleep(time.Second)
	for _, e := range d.engines {
		e.BecomeBrittle(limit, slots+waiting)
	}
	begin := time.Now().Add(learnTime)
	time.Sleep(learnTime + span)
	statuses := stop()
	t.Log(statuses)
	is.True(statuses[http.StatusOK] > 0)
	for _, e := range d.engines {
		t.Log(e.MostRejections(begin))
		is.True(e.MostRejections(begin) <= limit)
	}
}
