package experiment_test

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/experiment"
	"github.com/kumquathoist/kumquathoist/workload"
)

var update = flag.Bool("update", false, "write the golden files")

// TestTable compares the table of a small run with a golden file, so that
// changed results of a policy show up in review.
func TestTable(t *testing.T) {
	is := is.New(t)
	s, o := experiment.NamedScenario("shift", experiment.Options{Profile: workload.HviezdnaKupola(), Seeds: []uint64{1}, Scale: 0.5})
	var table bytes.Buffer
	experiment.PolicyTable(&table, o, s)
	const path = "testdata/shift.md"
	if *update {
		is.NoErr(os.WriteFile(path, table.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(table.String(), string(want))
}

// TestRunIsDeterministic checks that the result of a run depends only on its
// seed, under every disturbance.
func TestRunIsDeterministic(t *testing.T) {
	m := experiment.DefaultModel()
	for _, name := range []string{"steady", "restart", "crash", "join"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, o := experiment.NamedScenario(name, experiment.Options{Profile: workload.Halvorsen()})
			s.Admission = true
			arrivals := o.Profile.Generate(1, 35*time.Second)
			policies := experiment.Policies(m, 1)
			for _, p := range policies[len(policies)-4:] {
				first := experiment.Run(m, p, s, o.Profile.Engines, arrivals, 1)
				is.True(reflect.DeepEqual(first, experiment.Run(m, p, s, o.Profile.Engines, arrivals, 1)))
			}
		})
	}
}

// TestAdmissionKeepsGoodput checks that admission protects goodput and small
// accounts when the load exceeds a pool's capacity.
func TestAdmissionKeepsGoodput(t *testing.T) {
	is := is.New(t)
	m, s := experiment.DefaultModel(), experiment.DefaultScenario()
	p := workload.HviezdnaKupola()
	arrivals := p.WithRate(2.5*p.Rate).Generate(1, 30*time.Second)
	policy := experiment.ChosenPolicy(m, p.WasteWeight)
	withoutAdmission := experiment.Summarise(experiment.Run(m, policy, s, p.Engines, arrivals, 1), s.From, 30*time.Second)
	s.Admission = true
	withAdmission := experiment.Summarise(experiment.Run(m, policy, s, p.Engines, arrivals, 1), s.From, 30*time.Second)
	is.True(withAdmission.Goodput > 1.2*withoutAdmission.Goodput)
	is.True(withAdmission.SmallAccounts > 0.9)
}
