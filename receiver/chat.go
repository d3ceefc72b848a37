package receiver

import (
	"bufio"
	"encoding/json"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/dispatcher"
)

// eventBuffer is the number of chunks that wait for a slow caller.
const eventBuffer = 64

// errCallerGone is the cause with which a request ends whose caller can no
// longer be written to.
var errCallerGone = errors.New("caller has gone")

// serveChat answers a chat completion.
func (r *Receiver) serveChat(x *exchange) error {
	if x.chat.Stream {
		return r.streamChat(x)
	}
	var text strings.Builder
	var last dispatcher.Chunk
	result, err := r.Dispatcher.Chat(x.ctx, x.call, func(c dispatcher.Chunk) error {
		last = c
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		return nil
	})
	r.countChat(x, result, err)
	if err != nil {
		return err
	}
	writeJSON(x.http, completion(last, text.String()))
	r.end(x, fasthttp.StatusOK, nil)
	return nil
}

// countChat counts a chat call's usage: also that of one cut short, as far as
// its tokens were passed on.
func (r *Receiver) countChat(x *exchange, result dispatcher.Result, err error) {
	if err != nil && result.OutputTokens == 0 {
		return
	}
	c := x.call.Route.Class
	onTarget := err == nil && result.FirstToken <= c.FirstToken.Std() &&
		(c.BetweenTokens == 0 || result.Between <= c.BetweenTokens.Std())
	r.count(x, result.PromptTokens, result.OutputTokens, onTarget)
}

// streamChat answers a chat completion as server-sent events. The status is
// chosen once the first chunk or an error has come.
func (r *Receiver) streamChat(x *exchange) error {
	events := make(chan dispatcher.Chunk, eventBuffer)
	failed := make(chan error, 1)
	go func() {
		result, err := r.Dispatcher.Chat(x.ctx, x.call, func(c dispatcher.Chunk) error {
			select {
			case events <- c:
				return nil
			case <-x.ctx.Done():
				return x.ctx.Err()
			}
		})
		r.countChat(x, result, err)
		failed <- err
		close(events)
	}()
	first, ok := <-events
	if !ok {
		if err := <-failed; err != nil {
			return err
		}
		return errors.New("stream has no events")
	}
	x.http.SetContentType("text/event-stream")
	x.http.Response.Header.Set("Cache-Control", "no-cache")
	x.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		r.writeEvents(x, w, first, events, failed)
	})
	return nil
}

// writeEvents writes a stream to its end marker, or to an error event.
func (r *Receiver) writeEvents(x *exchange, w *bufio.Writer, first dispatcher.Chunk, events <-chan dispatcher.Chunk, failed <-chan error) {
	writable := writeEvent(w, first)
	for c := range events {
		if !writable {
			continue // Drains what was on its way when the caller went.
		}
		writable = writeEvent(w, c)
		if !writable {
			x.cancel(errCallerGone)
		}
	}
	err := <-failed
	switch {
	case !writable:
	case err != nil:
		writeEvent(w, errorBody(x.id, err))
	default:
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	}
	r.end(x, fasthttp.StatusOK, err)
}

func writeEvent(w *bufio.Writer, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
}

type completionBody struct {
	ID      string                 `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   string                 `json:"model"`
	Choices []completionChoice     `json:"choices"`
	Usage   *dispatcher.TokenUsage `json:"usage,omitempty"`
}

// completion builds the whole answer from a stream's last chunk and its text.
func completion(last dispatcher.Chunk, text string) completionBody {
	var finish *string
	if len(last.Choices) > 0 {
		finish = last.Choices[0].FinishReason
	}
	return completionBody{
		ID: last.ID, Object: "chat.completion", Created: last.Created, Model: last.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: text},
			FinishReason: finish,
		}},
		Usage: last.Usage,
	}
}
