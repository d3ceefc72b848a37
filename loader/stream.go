package loader

import (
	"bufio"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/emulator"
	"savoryloft.example/savoryloft/exchanger"
)

// endTimeout limits the wait for the end of a response after its end marker, which only serves
// to reuse the connection. Instances end a response at once.
const endTimeout = time.Second

// streamChunk is the data of one event of a streamed chat completion.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readStream reads server-sent events up to the end marker and compares the text
// with the expected one.
func (l *Loader) readStream(conn *exchanger.Conn, resp *fasthttp.Response, chat emulator.EngineRequest, m measurement) measurement {
	m.outcome = outcomeLost
	body := resp.BodyStream()
	if body == nil {
		return m
	}
	var text strings.Builder
	lines := bufio.NewScanner(body)
	tokens := 0
	var first, last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			m.outcome = outcomeAnswered
			break
		}
		var c streamChunk
		if json.Unmarshal([]byte(data), &c) != nil {
			m.outcome = outcomeIncorrect
			return m
		}
		if c.Error != nil {
			m.outcome = outcomeStreamError
			return m
		}
		if len(c.Choices) == 1 && c.Choices[0].Delta.Content != "" {
			text.WriteString(c.Choices[0].Delta.Content)
			last = time.Now()
			if tokens == 0 {
				first = last
				m.timeToFirst = last.Sub(m.started)
			}
			tokens++
		}
	}
	if m.outcome != outcomeAnswered {
		return m
	}
	if text.String() != expectedText(chat) {
		m.outcome = outcomeIncorrect
		return m
	}
	if tokens > 1 {
		m.timeBetweenTokens = last.Sub(first) / time.Duration(tokens-1)
	}
	conn.DrainFor(body, endTimeout)
	return m
}
