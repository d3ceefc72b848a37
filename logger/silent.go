package logger

// Discard discards all log messages. It is meant for fasthttp servers, whose errors
// are handled elsewhere.
type Discard struct{}

// Printf implements fasthttp.Logger.
func (Discard) Printf(string, ...any) {}
