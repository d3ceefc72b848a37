package receiver

import (
	"bufio"
	"encoding/json"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/dispatcher"
)

// eventBufferSize is the number of chunks that are buffered for a slow client.
const eventBufferSize = 64

// errClientDisconnected is the cancellation cause of a request whose client can
// no longer be written to.
var errClientDisconnected = errors.New("client disconnected")

// serveChat serves a chat completion, streamed or as a single response.
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
	r.recordChatUsage(x, result, err)
	if err != nil {
		return err
	}
	writeJSON(x.http, completion(last, text.String()))
	r.finish(x, fasthttp.StatusOK, nil)
	return nil
}

// recordChatUsage records the usage of a chat call. For a call that failed
// midway, it records the tokens that were forwarded.
func (r *Receiver) recordChatUsage(x *exchange, result dispatcher.Result, err error) {
	if err != nil && result.OutputTokens == 0 {
		return
	}
	c := x.call.Route.Class
	onTarget := err == nil && result.FirstToken <= c.FirstToken.Std() &&
		(c.BetweenTokens == 0 || result.BetweenTokens <= c.BetweenTokens.Std())
	r.recordUsage(x, result.PromptTokens, result.OutputTokens, onTarget)
}

// streamChat serves a chat completion as server-sent events. It waits for the
// first chunk or an error before it sets the response status.
func (r *Receiver) streamChat(x *exchange) error {
	events := make(chan dispatcher.Chunk, eventBufferSize)
	done := make(chan error, 1)
	go func() {
		result, err := r.Dispatcher.Chat(x.ctx, x.call, func(c dispatcher.Chunk) error {
			select {
			case events <- c:
				return nil
			case <-x.ctx.Done():
				return x.ctx.Err()
			}
		})
		r.recordChatUsage(x, result, err)
		done <- err
		close(events)
	}()
	first, ok := <-events
	if !ok {
		if err := <-done; err != nil {
			return err
		}
		return errors.New("stream ended without events")
	}
	x.http.SetContentType("text/event-stream")
	x.http.Response.Header.Set("Cache-Control", "no-cache")
	x.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		r.writeEvents(x, w, first, events, done)
	})
	return nil
}

// writeEvents writes the events of a stream, followed by the end marker or an
// error event.
func (r *Receiver) writeEvents(x *exchange, w *bufio.Writer, first dispatcher.Chunk, events <-chan dispatcher.Chunk, done <-chan error) {
	writable := writeEvent(w, first)
	for c := range events {
		if !writable {
			continue // Drains the chunks that were buffered when the client disconnected.
		}
		writable = writeEvent(w, c)
		if !writable {
			x.cancel(errClientDisconnected)
		}
	}
	err := <-done
	switch {
	case !writable:
	case err != nil:
		writeEvent(w, errorBody(x.id, err))
	default:
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	}
	r.finish(x, fasthttp.StatusOK, err)
}

// writeEvent writes v as one server-sent event. It returns false when v cannot
// be encoded or the client cannot be written to.
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

// completion builds the response body of a chat call without streaming, from the
// last chunk and the concatenated text of all chunks.
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
