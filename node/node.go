// Package node assembles the router daemon of one host from its components.
package node

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/dispatch"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/gateway"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/operator"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// Node is a running daemon.
type Node struct {
	settings  settings.Settings
	gateway   *gateway.Gateway
	runner    stopper
	operator  *operator.Server
	peers     *peer.Server
	directory *host.Directory
	// openRequests counts the requests in flight, once callers are served.
	openRequests atomic.Pointer[func() int64]
	// entries lists the entry hosts, once membership has started.
	entries  atomic.Pointer[entrySource]
	wait     conc.WaitGroup
	cancel   context.CancelFunc
	stopOnce sync.Once
	stop     chan struct{}
	stopped  chan struct{}
	// ready reports whether the host can serve requests.
	ready func() bool
}

// New starts a daemon, which runs until the context ends or a planned stop is
// complete.
func New(ctx context.Context, s settings.Settings) (*Node, error) {
	peerSecret, err := s.Secrets.Peers.Read()
	if err != nil {
		return nil, trace.Wrap(err, "reading the peers' secret")
	}
	peerTLS, err := s.PeerTLS.Config()
	if err != nil {
		return nil, trace.Wrap(err, "reading PeerTLS")
	}
	operatorSecret, err := s.Secrets.Operators.Read()
	if err != nil {
		return nil, trace.Wrap(err, "reading the operators' secret")
	}
	if s.Machine, err = fillMachine(s.Machine); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{settings: s, cancel: cancel, stop: make(chan struct{}), stopped: make(chan struct{})}
	if err := n.start(ctx, peer.Credentials{Secret: peerSecret, TLS: peerTLS}, operatorSecret); err != nil {
		cancel()
		return nil, err
	}
	return n, nil
}

// start creates the components in the order of their dependencies.
func (n *Node) start(ctx context.Context, credentials peer.Credentials, operatorSecret settings.Secret) error {
	metrics, exporter := n.startMetrics(ctx)
	log := registry.NewLog(n.settings.Platform.Log)
	client := upstream.NewClient()
	var err error
	if n.peers, err = peer.NewServer(n.settings.Listen.Peers, credentials); err != nil {
		return err
	}
	pool := peer.NewPool(credentials)
	revisions, err := n.startConfiguration(ctx, log, pool, metrics)
	if err != nil {
		return err
	}
	directory, err := n.startMembership(ctx, pool, revisions)
	if err != nil {
		return err
	}
	n.entries.Store(&entrySource{directory})
	current := func() document.Document { return revisions.State().Document }
	leaving, err := n.startDepartures(ctx, pool, directory, current)
	if err != nil {
		return err
	}
	engines, err := n.startEngines(ctx, pool, client, directory, leaving, current, metrics)
	if err != nil {
		return err
	}
	n.ready = func() bool {
		return revisions.Ready() && len(directory.Entries()) > 0 && allPoolsReported(current(), engines)
	}
	claims, err := n.startClaims(ctx, log, directory, pool)
	if err != nil {
		return err
	}
	sender := n.startOrders(ctx, log, directory, client, engines, revisions)
	limits, err := n.startLimits(ctx, pool, directory, revisions)
	if err != nil {
		return err
	}
	dispatcher, err := n.startDispatch(ctx, pool, directory, dispatch.Options{
		Client: client, Engines: countingEngines{engines, metrics},
		Admit:  admission.New(admission.Options{Estimator: engines, Limiter: limits, Metrics: metrics}),
		Claims: claims, Leaving: leaving,
	})
	if err != nil {
		return err
	}
	n.wait.Go(func() {
		defer pool.Close()
		_ = n.peers.Serve(ctx)
	})
	allotment := n.settings.Machine.Allotment(n.settings.Limits.HeaderBytes)
	debug.SetMemoryLimit(allotment.RuntimeBytes)
	bodies := ingress.NewBodies(ingress.BodyOptions{Limits: allotment.Limits, IDHeader: gateway.RequestIDHeader, Copies: gateway.BodyCopies, Metrics: metrics})
	return n.startServers(ctx, operator.Options{
		Allotment: allotment, Bodies: bodies, Scope: metrics, Settings: n.settings, Secret: operatorSecret, Editor: revisions, Directory: directory,
		Engines: engines, Metrics: exporter, Stop: n.Stop, Rollouts: sender.Progress,
	}, gateway.Options{
		Allotment: allotment, Bodies: bodies, Settings: n.settings, Runner: dispatcher, Directory: directory, Engines: engines, Metrics: metrics,
		Document: func() (document.Document, bool) { return current(), revisions.Ready() },
	})
}

// startServers starts the HTTP servers for operators and callers and announces
// the addresses for callers and peers to the other hosts.
func (n *Node) startServers(ctx context.Context, operators operator.Options, callers gateway.Options) error {
	var err error
	if n.operator, err = operator.New(ctx, &n.wait, operators); err != nil {
		return err
	}
	if n.gateway, err = gateway.New(ctx, &n.wait, callers); err != nil {
		return err
	}
	countOpen := n.gateway.OpenRequests
	n.openRequests.Store(&countOpen)
	n.directory.Announce(n.Callers(), n.Peers())
	event.Listening.Info("Host", n.settings.Host.Name, "Callers", n.Callers(), "Peers", n.Peers(), "Operators", n.Operators())
	n.wait.Go(func() { n.finish(ctx) })
	return nil
}

// Callers returns the IP:port for callers.
func (n *Node) Callers() string { return n.gateway.Address() }

// Peers returns the IP:port for other hosts.
func (n *Node) Peers() string { return n.peers.Address() }

// Operators returns the IP:port for operators.
func (n *Node) Operators() string { return n.operator.Address() }

// Stop begins a planned stop and returns immediately. Wait returns when the stop is
// complete.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Wait blocks until the daemon has ended.
func (n *Node) Wait() { n.wait.Wait() }

// readyPollInterval is the interval at which AwaitReady checks the host.
const readyPollInterval = 10 * time.Millisecond

// AwaitReady blocks until the host is ready: it has a configuration, knows an
// entry host, and an engine of each engine pool has reported.
func (n *Node) AwaitReady(ctx context.Context) error {
	for !n.ready() {
		if ctx.Err() != nil {
			return trace.ConnectionProblem(ctx.Err(), "host %s is not ready", n.settings.Host.Name)
		}
		clock.Pause(ctx, readyPollInterval)
	}
	return nil
}
