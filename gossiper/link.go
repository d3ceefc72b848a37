package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

// maintainLink runs a link to an address until ctx ends. It redials with exponential
// backoff and jitter, and resets the backoff after a connection that lasted.
func (g *Gossiper) maintainLink(ctx context.Context, address string, l *link) {
	delay := minRedialBackoff
	for ctx.Err() == nil {
		dialedAt := time.Now()
		err := g.runLink(ctx, address, l)
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.refusedAt = time.Now()
		}
		g.mu.Unlock()
		g.Logger.V(1).Info("link to peer failed; redialing", "step", savoryloft.StepPeer, "peer", address, "error", err.Error())
		if time.Since(dialedAt) > maxRedialBackoff {
			delay = minRedialBackoff
		}
		savoryloft.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRedialBackoff)
	}
}

// runLink dials an address, exchanges Hellos and sends digests until the connection
// fails or ctx ends. It returns the error that ended the connection.
func (g *Gossiper) runLink(ctx context.Context, address string, l *link) error {
	dialCtx, cancel := context.WithTimeout(ctx, g.LinkTimeout)
	conn, err := g.Dial(dialCtx, address)
	cancel()
	if err != nil {
		return err
	}
	c := newFrameConn(conn, g)
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.write(savoryloft.Frame{Hello: g.hello()}); err != nil {
		return err
	}
	first, err := c.read()
	if err != nil {
		return err
	}
	h, err := checkHello(first)
	if err != nil {
		g.Logger.Info("handshake with peer failed", "step", savoryloft.StepPeer, "peer", address, "error", err.Error())
		return err
	}
	g.mu.Lock()
	l.instance, l.refusedAt = h.Instance, time.Time{}
	clear(l.sentLimits)
	g.mu.Unlock()
	return g.exchangeDigests(ctx, c, l, h)
}

// exchangeDigests sends a digest at each interval and fetches control records if the
// peer has a higher offset.
func (g *Gossiper) exchangeDigests(ctx context.Context, c *frameConn, l *link, h savoryloft.Hello) error {
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	for {
		d := g.digest(l)
		if err := c.write(savoryloft.Frame{Digest: &d}); err != nil {
			return err
		}
		if _, err := c.read(); err != nil {
			return err
		}
		if err := g.fetchRecords(c, h.Instance); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// fetchRecords fetches and applies control records from a peer until this instance
// has reached the offset in the peer's last digest. It returns early if a response
// contains nothing that can be applied.
func (g *Gossiper) fetchRecords(c *frameConn, peer string) error {
	for {
		g.mu.Lock()
		m, ok := g.members[peer]
		ahead := ok && m.digest.Offset > g.Follower.Offset()
		g.mu.Unlock()
		if !ahead {
			return nil
		}
		before := g.Follower.Offset()
		if err := c.write(savoryloft.Frame{Fetch: &savoryloft.Fetch{From: before + 1}}); err != nil {
			return err
		}
		response, err := c.read()
		if err != nil {
			return err
		}
		if response.Tail == nil {
			return errors.New("response to Fetch is not a Tail")
		}
		after, err := g.Follower.ApplyTail(*response.Tail)
		if err != nil {
			return err
		}
		if after == before {
			return nil
		}
	}
}

// HandOverUsage sends usage deltas to the linked peers that are not leaving, one after
// another, until one of them acknowledges the deltas. It returns the last peer's error
// if none does. The deltas have sequence numbers, so a delta that two peers append is
// counted once.
func (g *Gossiper) HandOverUsage(ctx context.Context, deltas []string) error {
	g.mu.Lock()
	var addresses []string
	for _, m := range g.members {
		if !m.digest.Leaving && time.Since(m.receivedAt) < g.LinkTimeout {
			addresses = append(addresses, m.hello.Address)
		}
	}
	g.mu.Unlock()
	err := errors.New("no linked peer can receive the usage deltas")
	for _, a := range addresses {
		if err = g.sendHandover(ctx, a, deltas); err == nil {
			g.Logger.Info("usage deltas handed over to a peer", "step", savoryloft.StepPeer, "peer", a, "deltas", len(deltas))
			return nil
		}
	}
	return err
}

// sendHandover sends usage deltas to an address on a new connection and waits for the
// acknowledgement.
func (g *Gossiper) sendHandover(ctx context.Context, address string, deltas []string) error {
	dialCtx, cancel := context.WithTimeout(ctx, g.LinkTimeout)
	defer cancel()
	conn, err := g.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	c := newFrameConn(conn, g)
	defer c.Close()
	if err := c.write(savoryloft.Frame{Hello: g.hello()}); err != nil {
		return err
	}
	if _, err := c.read(); err != nil {
		return err
	}
	if err := c.write(savoryloft.Frame{Handover: &savoryloft.Handover{Deltas: deltas}}); err != nil {
		return err
	}
	_, err = c.read()
	return err
}

// Serve accepts links from other instances until ctx ends. It returns the listener's
// error if accepting fails earlier.
func (g *Gossiper) Serve(ctx context.Context, l net.Listener) error {
	g.init()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		g.group.Go(func() { g.serveLink(ctx, conn) })
	}
}

// serveLink serves an accepted connection until it fails or ctx ends. It logs invalid
// frames at level 0 and other errors at level 1.
func (g *Gossiper) serveLink(ctx context.Context, conn net.Conn) {
	c := newFrameConn(conn, g)
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := g.serveFrames(c); err != nil && ctx.Err() == nil {
		level := 1
		if errors.Is(err, framer.ErrInvalid) {
			level = 0
		}
		g.Logger.V(level).Info("link from peer closed", "step", savoryloft.StepPeer, "peer", conn.RemoteAddr().String(), "error", err.Error())
	}
}

// serveFrames exchanges Hellos and then replies to each frame. It returns an error that
// wraps framer.ErrInvalid if the peer sends an invalid or unexpected frame.
func (g *Gossiper) serveFrames(c *frameConn) error {
	first, err := c.read()
	if err != nil {
		return err
	}
	h, err := checkHello(first)
	if err != nil {
		return errors.Join(framer.ErrInvalid, err)
	}
	if err := c.write(savoryloft.Frame{Hello: g.hello()}); err != nil {
		return err
	}
	for {
		frame, err := c.read()
		if err != nil {
			return err
		}
		tail := savoryloft.Tail{}
		switch {
		case frame.Digest != nil:
			g.mergeDigest(h, *frame.Digest)
		case frame.Fetch != nil:
			tail = g.Follower.Tail(frame.Fetch.From)
		case frame.Handover != nil:
			g.ReceiveUsage(frame.Handover.Deltas)
		default:
			return framer.ErrInvalid
		}
		if err := c.write(savoryloft.Frame{Tail: &tail}); err != nil {
			return err
		}
	}
}
