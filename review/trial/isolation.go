package main

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

// playIsolation has one account's requests fill the engines' caches, isolates the
// account by a new version of the configuration, and then has another account send
// prompts with the same parts.
func playIsolation(ctx context.Context, t *trial) (bool, error) {
	const engineCount, subjects = 3, 12
	engines := make([]*engine, engineCount)
	for i := range engines {
		var err error
		if engines[i], err = newEngine(t, i, 4, 20*time.Millisecond); err != nil {
			return false, err
		}
		defer engines[i].close()
	}
	d, err := newDeployment(t, configuration(3, 15*time.Second, account("mill", false), account("grocer", false)), engines...)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startHosts(ctx); err != nil {
		return false, err
	}
	served := d.sendSubjects("mill", subjects)
	if t.disrupted {
		d.store.Configure(configuration(7, 15*time.Second, account("mill", true), account("grocer", false)))
		t.logf("configuration 7 acknowledged: mill is isolated")
	}
	// All hosts are in touch and have the configuration long before the next request.
	if err := sleep(ctx, configApplyTime+2*time.Second); err != nil {
		return false, err
	}
	served += d.sendSubjects("grocer", subjects)
	if served < 2*subjects {
		return false, fmt.Errorf("only %d of %d requests were served", served, 2*subjects)
	}
	foreign := 0
	for _, e := range engines {
		for _, r := range e.reuses() {
			foreign++
			t.logf("engine %s: request %s of %s used part %s that a request of %s made (X-Cache-Salt %q)", e.id, r.attempt, r.account, r.part, r.maker, r.salt)
		}
	}
	// Accounts that are not isolated may share parts.
	isolated := t.disrupted
	t.logf("%d uses of parts that another account's requests made; one of the two is isolated: %v", foreign, isolated)
	return isolated && foreign > 0, nil
}

// sendSubjects sends one request for each subject, whose parts are the same for all
// accounts, and returns how many were served.
func (d *deployment) sendSubjects(accountName string, count int) (served int) {
	for i := range count {
		h := d.hosts[i%len(d.hosts)]
		id := fmt.Sprintf("%s-%02d", accountName, i)
		c, err := connect(h)
		if err != nil {
			d.logf("%s to %s: %v", id, h.name, err)
			continue
		}
		a, err := c.send(request(id, "key-"+accountName, 10*time.Second,
			standin.PlatformPart{ID: "5c1e07a2", Tokens: 800}, standin.PlatformPart{ID: fmt.Sprintf("91bd3f%02x", i), Tokens: 2400}, standin.PlatformPart{ID: fmt.Sprintf("%s%02x", map[string]string{"mill": "a1", "grocer": "b2"}[accountName], i), Tokens: 300}))
		d.logf("%s of %s to %s: %s", id, accountName, h.name, describe(a, err))
		if err == nil && a.Status == 200 && a.Whole {
			served++
		}
		_ = c.Close()
	}
	return served
}
