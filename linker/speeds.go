package linker

import (
	"slices"

	"savoryloft.example/savoryloft"
)

const (
	promptTokensStep    = 100  // Unit of UpstreamSpeed.PromptTokens on the wire, in tokens.
	valuesPerSpeed      = 5    // Values of one speed in savoryloft.SpeedChanges.
	maxSpeedsPerFrame   = 24   // Bounds the bytes that speeds take on a link; the rest follows with later frames.
	maxNumberedSpeeds   = 4096 // Upstreams after which a numbering starts anew; bounds its memory.
	maxPendingUpstreams = 4096 // Upstreams whose speeds wait for a frame to one peer.
)

// speedSums holds sums of speeds by upstream.
type speedSums map[string]savoryloft.UpstreamSpeed

func (s speedSums) add(speed savoryloft.UpstreamSpeed) {
	sum, ok := s[speed.Upstream]
	if !ok && len(s) >= maxPendingUpstreams {
		return // The peer's estimate of this upstream only stays as it is.
	}
	sum.Upstream = speed.Upstream
	sum.PromptTokens += speed.PromptTokens
	sum.PrefillMs += speed.PrefillMs
	sum.StreamTokens += speed.StreamTokens
	sum.StreamMs += speed.StreamMs
	s[speed.Upstream] = sum
}

// take removes up to limit speeds and returns them.
func (s speedSums) take(limit int) []savoryloft.UpstreamSpeed {
	taken := make([]savoryloft.UpstreamSpeed, 0, min(limit, len(s)))
	for id, speed := range s {
		if len(taken) == limit {
			break
		}
		taken = append(taken, speed)
		delete(s, id)
	}
	return taken
}

// speedEncoder encodes the speeds that a peer is sent.
type speedEncoder struct{ numbers map[string]int }

// encode returns the frame field that holds speeds, or nil if there are none.
func (e *speedEncoder) encode(speeds []savoryloft.UpstreamSpeed) *savoryloft.SpeedChanges {
	if len(speeds) == 0 {
		return nil
	}
	c := &savoryloft.SpeedChanges{Restart: e.numbers == nil || len(e.numbers)+len(speeds) > maxNumberedSpeeds}
	if c.Restart {
		e.numbers = map[string]int{}
	}
	for _, speed := range speeds {
		number, ok := e.numbers[speed.Upstream]
		if !ok {
			number = len(e.numbers)
			e.numbers[speed.Upstream] = number
			c.Names = append(c.Names, speed.Upstream)
		}
		tokens := (speed.PromptTokens + promptTokensStep/2) / promptTokensStep
		c.Values = append(c.Values, number, tokens, speed.PrefillMs, speed.StreamTokens, speed.StreamMs)
	}
	return c
}

// speedDecoder decodes the speeds that a peer sends.
type speedDecoder struct{ names []string } // By number.

// decode returns the speeds in c. It skips numbers without a name.
func (d *speedDecoder) decode(c *savoryloft.SpeedChanges) []savoryloft.UpstreamSpeed {
	if c.Restart {
		d.names = nil
	}
	if len(d.names)+len(c.Names) <= maxNumberedSpeeds {
		d.names = append(d.names, c.Names...)
	}
	speeds := make([]savoryloft.UpstreamSpeed, 0, len(c.Values)/valuesPerSpeed)
	for v := range slices.Chunk(c.Values, valuesPerSpeed) {
		if v[0] < len(d.names) {
			speeds = append(speeds, savoryloft.UpstreamSpeed{
				Upstream: d.names[v[0]], PromptTokens: v[1] * promptTokensStep, PrefillMs: v[2], StreamTokens: v[3], StreamMs: v[4],
			})
		}
	}
	return speeds
}

// QueueSpeeds queues speeds that this instance has found out. They are sent with the
// next frames that carry loads.
func (l *Linker) QueueSpeeds(speeds []savoryloft.UpstreamSpeed) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueSpeeds(speeds, nil)
}

// queueSpeeds adds speeds to those that wait on the links over which this instance
// has to pass them on. from is the link on which they arrived; nil if they are this
// instance's own. The caller holds the lock.
func (l *Linker) queueSpeeds(speeds []savoryloft.UpstreamSpeed, from *link) {
	if len(speeds) == 0 {
		return
	}
	for _, k := range l.relayLinks(from) {
		for _, speed := range speeds {
			k.pendingSpeeds.add(speed)
		}
	}
}

// newSpeeds returns the next speeds for the peer, or nil if none wait.
func (k *link) newSpeeds() *savoryloft.SpeedChanges {
	k.linker.mu.Lock()
	speeds := k.pendingSpeeds.take(maxSpeedsPerFrame)
	k.linker.mu.Unlock()
	return k.speedEncoder.encode(speeds)
}

// handleSpeeds processes speeds from the peer and relays those that Source returns.
func (k *link) handleSpeeds(c *savoryloft.SpeedChanges) {
	l := k.linker
	news := l.Source.MergeSpeeds(k.speedDecoder.decode(c))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueSpeeds(news, k)
}
