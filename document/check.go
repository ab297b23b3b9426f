package document

import "github.com/gravitational/trace"

// Check returns an error for the first value that can't be used, references
// between sections included.
func (d Document) Check() error {
	for _, m := range d.Models.Models {
		pool, ok := d.Pool(m.Pool)
		if !ok {
			return trace.BadParameter("model %q names pool %q, which does not exist", m.Name, m.Pool)
		}
		if pool.Kind != EnginePool {
			return trace.BadParameter("model %q names pool %q, which has no engines", m.Name, m.Pool)
		}
	}
	for _, a := range d.Accounts.Accounts {
		for _, name := range a.Models {
			if _, ok := d.Model(name); !ok {
				return trace.BadParameter("account %q names model %q, which does not exist", a.Name, name)
			}
		}
	}
	return nil
}
