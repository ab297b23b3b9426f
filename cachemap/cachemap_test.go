package cachemap_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

// TestKeys checks that parts with different salts have different keys.
func TestKeys(t *testing.T) {
	is := is.New(t)
	keys := cachemap.Keys("s", []call.Part{{ID: "a"}, {ID: "b"}})
	is.Equal(keys, []cachemap.Key{cachemap.KeyOf("s", "a"), cachemap.KeyOf("s", "b")})
	is.True(keys[0] != keys[1])
	is.True(keys[0] != cachemap.KeyOf("t", "a"))
	is.True(cachemap.KeyOf("sa", "b") != cachemap.KeyOf("s", "ab"))
}

// TestHolders checks that the last holders of a part are tracked until they
// expire or are removed.
func TestHolders(t *testing.T) {
	is := is.New(t)
	m, now := cachemap.New(), clock.Instant(time.Hour)
	k := cachemap.Keys("s", []call.Part{{ID: "a"}})
	for e := range loadreport.EngineHash(10) {
		m.Add(e, k, now.Add(time.Duration(e)*time.Second))
	}
	is.Equal(m.Holders(k[0], now.Add(9*time.Second)), []loadreport.EngineHash{9, 8, 7, 6, 5, 4, 3, 2})
	is.Equal(m.Holders(k[0], now.Add(27*time.Second)), []loadreport.EngineHash{9, 8, 7})
	m.RemoveAll(9)
	is.Equal(m.Holders(k[0], now.Add(27*time.Second)), []loadreport.EngineHash{8, 7})
	is.True(m.Remove(8, k[0]))
	is.True(!m.Remove(8, k[0]))
	is.Equal(m.Holders(k[0], now.Add(27*time.Second)), []loadreport.EngineHash{7})
	is.Equal(m.Holders(k[0], now.Add(time.Minute)), []loadreport.EngineHash{})
	is.Equal(len(m.Add(7, k, now.Add(27*time.Second))), 1) // last observed there long ago
	is.Equal(len(m.Add(7, k, now.Add(28*time.Second))), 0) // observed a moment ago
	is.True(m.Remove(7, k[0]))
	is.True(!m.Remove(3, cachemap.KeyOf("s", "never seen")))
}
