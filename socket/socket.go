// Package socket has TCP dialers whose connections end when the other side has
// fallen silent, whether or not bytes are on their way to it.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeInterval is how long a connection is idle before its first keep-alive
// probe, and the time between two probes. The kernel takes whole seconds.
const probeInterval = time.Second

// Dialer returns a dialer whose connections end with ETIMEDOUT once the other side
// has acknowledged nothing for longer than maxSilence: neither bytes nor keep-alive
// probes. Probes go out each second, so a silence of up to a second more than
// maxSilence may pass.
func Dialer(timeout, maxSilence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(maxSilence/probeInterval) + 1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			// TCP_USER_TIMEOUT bounds unacknowledged bytes, and also decides when
			// unanswered probes end the connection.
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxSilence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
