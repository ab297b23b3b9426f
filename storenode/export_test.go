package storenode

// NewNode starts a daemon that opens connections to upstreams with a dialer.
var NewNode = newNode

// Evacuate migrates the requests that run at an engine to others.
func (n *Node) Evacuate(engine string) { n.router.Evacuate(engine) }

// Knows reports whether the host knows an upstream.
func (n *Node) Knows(upstream string) bool {
	_, ok := n.syncer.State().Upstreams.Entry(upstream)
	return ok
}

// Named returns the newest weights of a model that the host knows to be named.
func (n *Node) Named(model string) int64 {
	history, _ := n.syncer.State().WeightsHistory(model)
	return history.Version
}
