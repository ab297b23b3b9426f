package samples_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/samples"
)

// TestSamples checks that the samples are valid and as large as the users'
// current deployments.
func TestSamples(t *testing.T) {
	for name, engines := range map[string]int{"halvorsen": 12, "hviezdna-kupola": 9} {
		is := is.New(t)
		s, err := samples.New(name)
		is.NoErr(err)
		for _, section := range document.Sections() {
			raw, err := s.Document.Encode(section)
			is.NoErr(err)
			replaced, err := s.Document.Replace(section, raw)
			is.NoErr(err) // an encoded section can be published again
			is.Equal(replaced, s.Document)
		}
		is.Equal(len(s.Settings), 6)
		is.Equal(len(s.Document.Accounts.Accounts), 8)
		is.Equal(len(s.Document.Capacity.Pools), 2)
		pool := s.Document.Capacity.Pools[0]
		is.Equal(pool.Kind, document.EnginePool)
		is.Equal(len(pool.Upstreams), engines)
		is.True(pool.KeptStore != "")
		is.Equal(len(s.Document.Capacity.Pools[1].Upstreams), 3)
		// Hosts, engines and services are in the same failure domains, and no
		// address is used twice.
		domains, used := map[string]bool{}, map[string]bool{}
		for _, conf := range s.Settings {
			domains[conf.Host.FailureDomain] = true
			is.True(!used[conf.Listen.Callers])
			used[conf.Listen.Callers] = true
		}
		is.Equal(len(domains), 3)
		for _, p := range s.Document.Capacity.Pools {
			for _, u := range p.Upstreams {
				is.True(domains[u.FailureDomain])
				is.True(!used[u.Address])
				used[u.Address] = true
			}
		}
		for _, a := range s.Document.Accounts.Accounts {
			found, ok := s.Document.AccountByKeyHash(document.HashKey(samples.KeyPrefix + a.Name))
			is.True(ok)
			is.Equal(found.Name, a.Name)
		}
	}
	_, err := samples.New("ghost")
	is.New(t).True(err != nil)
}
