package ingress

// maxWindow is the largest number of bytes that the kernel receives for a body beyond what
// its buffer takes.
const maxWindow = 128 << 10

// receiveWindow returns how many bytes the kernel may receive beyond a buffer of a body: the
// larger the body, the longer it would take over a slow way in small windows.
func receiveWindow(buffer int) int {
	if buffer <= wholeBytes/4 {
		return 0
	}
	return min(buffer/2, maxWindow)
}

// widen lets the kernel receive a number of bytes for a body that has room for them, if the
// listener limits them.
func (c *Conn) widen(window int) {
	// The kernel holds up to twice the size of its buffer.
	if own := c.listener.ReceiveBytes; own > 0 && window/2 > max(own, c.window) {
		c.window = window / 2
		_ = c.SetReadBuffer(c.window) // a failure leaves a smaller buffer
	}
}

// narrow ends what widen allowed.
func (c *Conn) narrow() {
	if c.window > 0 {
		c.window = 0
		_ = c.SetReadBuffer(c.listener.ReceiveBytes) // fails only on a closed connection
	}
}
