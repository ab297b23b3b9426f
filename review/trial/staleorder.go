package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// thawSlack is the platform's thaw_slack_ms: orders that arrive so soon after a link
// healed don't count.
const thawSlack = 300 * time.Millisecond

// playStaleOrder names new weights, and cuts the link between one engine and the host
// that orders it while the order is on its way.
func playStaleOrder(ctx context.Context, t *trial) (bool, error) {
	const engineCount = 5
	engines := make([]*engine, engineCount)
	for i := range engines {
		var err error
		if engines[i], err = newEngine(t, i, 4, 20*time.Millisecond); err != nil {
			return false, err
		}
		defer engines[i].close()
	}
	l, err := newLink(t, engines[0].address)
	if err != nil {
		return false, err
	}
	defer func() { _ = l.listener.Close() }()
	engines[0].address = l.listener.Addr().String()
	d, err := newDeployment(t, configuration(3, 15*time.Second, account("mill", false)), engines...)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startHosts(ctx); err != nil {
		return false, err
	}
	l.setHosts(d.hosts)
	d.nameWeights(2)
	if err := sleep(ctx, 12*time.Second); err != nil {
		return false, err
	}
	var orders []order
	for _, e := range engines {
		if !e.hasLoaded(2) {
			return false, fmt.Errorf("engine %s has not loaded version 2", e.id)
		}
		orders = append(orders, e.received()...)
	}
	healed := l.healedAt()
	orders = slices.DeleteFunc(orders, func(o order) bool { return o.at.After(healed) && o.at.Sub(healed) < thawSlack })
	return t.judgeOrders(orders), nil
}

// nameWeights names a version of the weights.
func (d *deployment) nameWeights(version int64) {
	d.store.NameWeights(modelName, version)
	d.logf("version %d is named", version)
}
