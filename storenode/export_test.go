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
