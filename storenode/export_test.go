package storenode

// NewNode starts a daemon that opens connections to upstreams with a dialer.
var NewNode = newNode
