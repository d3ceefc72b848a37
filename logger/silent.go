package logger

// Silent drops the lines of a library whose errors are handled elsewhere.
type Silent struct{}

// Printf implements the logger interface of fasthttp.
func (Silent) Printf(string, ...any) {}
