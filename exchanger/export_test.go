package exchanger

// Buffered returns the bytes of responses that are being read as a whole.
func (p *Pool) Buffered() int64 { return p.buffered.Load() }
