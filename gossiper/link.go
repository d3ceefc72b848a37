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

// keepLink dials an address again and again until ctx ends.
func (g *Gossiper) keepLink(ctx context.Context, address string, l *link) {
	delay := leastRedial
	for ctx.Err() == nil {
		began := time.Now()
		err := g.runLink(ctx, address, l)
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.refused = time.Now()
		}
		g.mu.Unlock()
		g.Logger.V(1).Info("link lost", "step", savoryloft.StepPeer, "peer", address, "error", err.Error())
		if time.Since(began) > mostRedial {
			delay = leastRedial
		}
		savoryloft.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, mostRedial)
	}
}

// runLink sends digests on one connection until it fails.
func (g *Gossiper) runLink(ctx context.Context, address string, l *link) error {
	dialCtx, cancel := context.WithTimeout(ctx, g.Silence)
	nc, err := g.Dial(dialCtx, address)
	cancel()
	if err != nil {
		return err
	}
	f := newFrames(nc, g)
	defer f.Close()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	if err := f.write(savoryloft.Frame{Hello: g.hello()}); err != nil {
		return err
	}
	first, err := f.read()
	if err != nil {
		return err
	}
	h, err := checkHello(first)
	if err != nil {
		g.Logger.Info("peer dropped", "step", savoryloft.StepPeer, "peer", address, "error", err.Error())
		return err
	}
	g.mu.Lock()
	l.name, l.refused = h.Instance, time.Time{}
	clear(l.limits)
	g.mu.Unlock()
	return g.exchange(ctx, f, l, h)
}

// exchange sends a digest at each interval and fetches records when the peer
// is ahead.
func (g *Gossiper) exchange(ctx context.Context, f *frames, l *link, h savoryloft.Hello) error {
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	for {
		d := g.digest(l)
		if err := f.write(savoryloft.Frame{Digest: &d}); err != nil {
			return err
		}
		if _, err := f.read(); err != nil {
			return err
		}
		if err := g.catchUp(f, h.Instance); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// catchUp fetches control records while the peer's digests tell of more.
func (g *Gossiper) catchUp(f *frames, peer string) error {
	for {
		g.mu.Lock()
		m, ok := g.members[peer]
		ahead := ok && m.digest.Offset > g.Follower.Offset()
		g.mu.Unlock()
		if !ahead {
			return nil
		}
		before := g.Follower.Offset()
		if err := f.write(savoryloft.Frame{Fetch: &savoryloft.Fetch{From: before + 1}}); err != nil {
			return err
		}
		answer, err := f.read()
		if err != nil {
			return err
		}
		if answer.Tail == nil {
			return errors.New("answer to Fetch is not a Tail")
		}
		after, err := g.Follower.ApplyTail(*answer.Tail)
		if err != nil {
			return err
		}
		if after == before {
			return nil
		}
	}
}

// HandOver gives usage deltas to the first peer that takes them.
func (g *Gossiper) HandOver(ctx context.Context, deltas []string) error {
	g.mu.Lock()
	var addresses []string
	for _, m := range g.members {
		if !m.digest.Leaving && time.Since(m.heard) < g.Silence {
			addresses = append(addresses, m.hello.Address)
		}
	}
	g.mu.Unlock()
	err := errors.New("no peer is linked")
	for _, a := range addresses {
		if err = g.handOverTo(ctx, a, deltas); err == nil {
			g.Logger.Info("usage handed over", "step", savoryloft.StepPeer, "peer", a, "deltas", len(deltas))
			return nil
		}
	}
	return err
}

func (g *Gossiper) handOverTo(ctx context.Context, address string, deltas []string) error {
	dialCtx, cancel := context.WithTimeout(ctx, g.Silence)
	defer cancel()
	nc, err := g.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	f := newFrames(nc, g)
	defer f.Close()
	if err := f.write(savoryloft.Frame{Hello: g.hello()}); err != nil {
		return err
	}
	if _, err := f.read(); err != nil {
		return err
	}
	if err := f.write(savoryloft.Frame{Handover: &savoryloft.Handover{Deltas: deltas}}); err != nil {
		return err
	}
	_, err = f.read()
	return err
}

// Serve answers links from other instances until ctx ends.
func (g *Gossiper) Serve(ctx context.Context, l net.Listener) error {
	g.init()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		g.group.Go(func() { g.answerLink(ctx, nc) })
	}
}

func (g *Gossiper) answerLink(ctx context.Context, nc net.Conn) {
	f := newFrames(nc, g)
	defer f.Close()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	if err := g.answerFrames(f); err != nil && ctx.Err() == nil {
		level := 1
		if errors.Is(err, framer.ErrInvalid) {
			level = 0
		}
		g.Logger.V(level).Info("peer dropped", "step", savoryloft.StepPeer, "peer", nc.RemoteAddr().String(), "error", err.Error())
	}
}

func (g *Gossiper) answerFrames(f *frames) error {
	first, err := f.read()
	if err != nil {
		return err
	}
	h, err := checkHello(first)
	if err != nil {
		return errors.Join(framer.ErrInvalid, err)
	}
	if err := f.write(savoryloft.Frame{Hello: g.hello()}); err != nil {
		return err
	}
	for {
		frame, err := f.read()
		if err != nil {
			return err
		}
		tail := savoryloft.Tail{}
		switch {
		case frame.Digest != nil:
			g.heardFrom(h, *frame.Digest)
		case frame.Fetch != nil:
			tail = g.Follower.Tail(frame.Fetch.From)
		case frame.Handover != nil:
			g.Adopt(frame.Handover.Deltas)
		default:
			return framer.ErrInvalid
		}
		if err := f.write(savoryloft.Frame{Tail: &tail}); err != nil {
			return err
		}
	}
}
