package host

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

const (
	// linkQueue bounds the messages that wait for a peer's connection. Further
	// ones are dropped, since later messages carry newer state.
	linkQueue = 8
	// linkIdle is the idle timeout of a connection.
	linkIdle = 10 * time.Second
)

// link is a stream of heartbeats to one peer.
type link struct {
	queue  chan *peerpb.Heartbeat
	stream peerpb.DRPCMemberships_SendClient
	cancel context.CancelFunc
}

// send queues a message for its peer. The caller holds mu.
func (d *Directory) send(o membership.Outgoing) {
	address := o.To.Peers
	l, ok := d.links[address]
	if !ok {
		l = &link{queue: make(chan *peerpb.Heartbeat, linkQueue)}
		d.links[address] = l
		d.wait.Go(func() { d.sendQueued(address, l) })
	}
	select {
	case l.queue <- encode(o.Message):
	default:
	}
}

// sendQueued sends the messages of a link until it is idle or the context ends.
func (d *Directory) sendQueued(address string, l *link) {
	defer l.close()
	idle := time.NewTicker(linkIdle)
	defer idle.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case m := <-l.queue:
			idle.Reset(linkIdle)
			d.sendMessage(address, l, m)
		case <-idle.C:
			if d.removeIdle(address, l) {
				return
			}
		}
	}
}

// sendMessage sends one message. It closes the stream after an error; the next
// message opens a new one.
func (d *Directory) sendMessage(address string, l *link, m *peerpb.Heartbeat) {
	if l.stream == nil {
		ctx, cancel := context.WithCancel(d.Pool.Context(d.ctx))
		stream, err := peerpb.NewDRPCMembershipsClient(d.Pool.Conn(ctx, address)).Send(ctx)
		if err != nil {
			cancel()
			return
		}
		l.stream, l.cancel = stream, cancel
	}
	if err := l.stream.Send(m); err != nil {
		l.close()
	}
}

// removeIdle removes a link without queued messages, and reports whether it did.
func (d *Directory) removeIdle(address string, l *link) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(d.links, address)
	return true
}

// close closes the stream.
func (l *link) close() {
	if l.stream != nil {
		l.cancel()
		l.stream = nil
	}
}

// Send implements the Memberships service: it receives the heartbeats of one
// peer until its stream ends.
func (d *Directory) Send(stream peerpb.DRPCMemberships_SendStream) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		message := decode(m)
		d.apply(membership.Received{Message: message})
		if d.OnHeartbeat != nil {
			d.OnHeartbeat(message.Sender.Name, message.Position)
		}
	}
}
