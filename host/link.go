package host

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

const (
	// linkQueue bounds the messages that wait for a peer's connection; more
	// are dropped, since later messages carry newer news.
	linkQueue = 8
	// linkIdle is how long a connection without messages is kept.
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
		d.wait.Go(func() { d.run(address, l) })
	}
	select {
	case l.queue <- encode(o.Message):
	default:
	}
}

// run sends the messages of a link until it is idle or the context ends.
func (d *Directory) run(address string, l *link) {
	defer l.close()
	idle := time.NewTicker(linkIdle)
	defer idle.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case m := <-l.queue:
			idle.Reset(linkIdle)
			d.write(address, l, m)
		case <-idle.C:
			if d.retire(address, l) {
				return
			}
		}
	}
}

// write sends one message; a failure closes the stream until the next one.
func (d *Directory) write(address string, l *link, m *peerpb.Heartbeat) {
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

// retire forgets a link without messages.
func (d *Directory) retire(address string, l *link) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(d.links, address)
	return true
}

// close ends the stream.
func (l *link) close() {
	if l.stream != nil {
		l.cancel()
		l.stream = nil
	}
}

// Send implements the Memberships service: it takes over the heartbeats of
// one peer until its stream ends.
func (d *Directory) Send(stream peerpb.DRPCMemberships_SendStream) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		message := decode(m)
		d.step(membership.Received{Message: message})
		if d.Heard != nil {
			d.Heard(message.Sender.Name, message.Position)
		}
	}
}
