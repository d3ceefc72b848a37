package logger

// Silent discards all log messages. It is meant for fasthttp servers, whose errors
// are handled elsewhere.
type Silent struct{}

// Printf implements fasthttp.Logger.
func (Silent) Printf(string, ...any) {}
