package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/kumquathoist/kumquathoist/placement"
)

const (
	// leaseTime is the platform's lease_ms.
	leaseTime = 3 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 1700 * time.Millisecond
	// rollGap is the gap_s of the rolling restart: from the return of one host to the
	// SIGTERM of the next.
	rollGap = time.Second
	// unseenTime is how long after its end a host still counts for the others.
	unseenTime = time.Second
	// ordersKey is the key by which hosts rank themselves for orders.
	ordersKey = "engine orders"
	// claimsTopic is the topic in which hosts record their claims on engines.
	claimsTopic = "orders"
)

// playTwoHolders restarts two hosts in turn while weights are named twice. The store
// forgets its history once the first host is back.
func playTwoHolders(ctx context.Context, t *trial) (bool, error) {
	const engineCount = 4
	engines := make([]*engine, engineCount)
	for i := range engines {
		var err error
		if engines[i], err = newEngine(t, i, 4, 20*time.Millisecond); err != nil {
			return false, err
		}
		defer engines[i].close()
	}
	d, err := newDeployment(t, configuration(3, 15*time.Second, account("mill", false)), engines...)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startHosts(ctx); err != nil {
		return false, err
	}
	if err := d.nameWeightsDuringRoll(ctx); err != nil {
		return false, err
	}
	var orders []order
	for _, e := range engines {
		if !e.hasLoaded(3) {
			return false, fmt.Errorf("engine %s has not loaded version 3", e.id)
		}
		orders = append(orders, e.received()...)
	}
	return t.judgeOrders(orders), nil
}

// nameWeightsDuringRoll restarts the two hosts that rank first for orders, one after
// the other, and names weights while the first is away and once it is back.
func (d *deployment) nameWeightsDuringRoll(ctx context.Context) error {
	first, second := d.orderers()
	d.terminate(first)
	<-first.ended
	if err := sleep(ctx, unseenTime); err != nil {
		return err
	}
	d.nameWeights(2)
	if err := sleep(ctx, restartDelay-unseenTime); err != nil {
		return err
	}
	d.logf("%s starts again", first.name)
	if err := d.start(first); err != nil {
		return err
	}
	if err := sleep(ctx, rollGap/2); err != nil {
		return err
	}
	if d.disrupted {
		d.store.Trim(claimsTopic)
		d.logf("the store forgets its history")
	}
	if err := sleep(ctx, rollGap/2); err != nil {
		return err
	}
	d.terminate(second)
	if err := sleep(ctx, 200*time.Millisecond); err != nil {
		return err
	}
	d.nameWeights(3)
	<-second.ended
	if err := d.start(second); err != nil {
		return err
	}
	return sleep(ctx, 6*time.Second)
}

// nameWeights names a version of the weights.
func (d *deployment) nameWeights(version int64) {
	d.store.NameWeights(modelName, version)
	d.logf("version %d is named", version)
}

// terminate sends SIGTERM to a host.
func (d *deployment) terminate(h *host) {
	d.logf("%s gets SIGTERM", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
}

// orderers returns the two hosts that rank first for orders.
func (d *deployment) orderers() (first, second *host) {
	byName := map[string]*host{}
	var names []string
	for _, h := range d.hosts {
		names = append(names, h.name)
		byName[h.name] = h
	}
	ranked := placement.Rank(ordersKey, names)
	return byName[ranked[0]], byName[ranked[1]]
}

// judgeOrders reports whether two holders took turns at an engine within the lease, had
// one fencing token, or a lower token came after a higher one.
func (t *trial) judgeOrders(orders []order) (broken bool) {
	slices.SortFunc(orders, func(a, b order) int { return a.at.Compare(b.at) })
	last := map[string]order{}
	holders := map[int64]string{}
	for _, o := range orders {
		if holder, known := holders[o.Token]; known && holder != o.Holder {
			t.logf("token %d has two holders, %s and %s", o.Token, holder, o.Holder)
			broken = true
		}
		holders[o.Token] = o.Holder
		before, known := last[o.engine]
		last[o.engine] = o
		switch {
		case !known:
		case before.Holder != o.Holder && o.at.Sub(before.at) < leaseTime:
			t.logf("engine %s: %s (token %d) %.2f s after %s (token %d); the lease is %s", o.engine, o.Holder, o.Token, o.at.Sub(before.at).Seconds(), before.Holder, before.Token, leaseTime)
			broken = true
		case o.Token < before.Token:
			t.logf("engine %s: token %d after token %d", o.engine, o.Token, before.Token)
			broken = true
		}
	}
	return broken
}
