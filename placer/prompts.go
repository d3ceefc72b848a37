package placer

import "time"

// askedPart is a shared prompt part of this instance's requests.
type askedPart struct {
	service  string
	tokens   int
	lastUsed time.Time
}

// recordPrompt records the shared parts of a request's prompt. The caller holds the lock.
func (p *Placer) recordPrompt(now time.Time, r Request) {
	if p.askedParts == nil {
		p.askedParts = map[string]askedPart{}
	}
	for _, part := range r.sharedParts() {
		p.askedParts[part.ID] = askedPart{service: r.Service, tokens: part.Tokens, lastUsed: now}
	}
}

// PromptTokens returns the tokens of the shared prompt parts of this instance's recent
// requests to a service, each part counted once. In a deployment whose requests are spread
// evenly over the instances they are most of those in use.
func (p *Placer) PromptTokens(now time.Time, service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens := 0
	for _, part := range p.askedParts {
		if part.service == service && now.Sub(part.lastUsed) <= cachedPartTTL {
			tokens += part.tokens
		}
	}
	return tokens
}

// pruneAskedParts deletes the parts that are no longer in use. The caller holds the lock.
func (p *Placer) pruneAskedParts(now time.Time) {
	for id, part := range p.askedParts {
		if now.Sub(part.lastUsed) > cachedPartTTL {
			delete(p.askedParts, id)
		}
	}
}
