package loader

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/emulator"
	"savoryloft.example/savoryloft/exchanger"
)

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

// readStream reads server-sent events to the end marker and checks the text.
func (l *Loader) readStream(conn *exchanger.Conn, resp *fasthttp.Response, chat emulator.EngineRequest, s sample) sample {
	s.outcome = outcomeLost
	body := resp.BodyStream()
	if body == nil {
		return s
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
			s.outcome = outcomeAnswered
			break
		}
		var c streamChunk
		if json.Unmarshal([]byte(data), &c) != nil {
			s.outcome = outcomeWrong
			return s
		}
		if c.Error != nil {
			s.outcome = outcomeCutWithError
			return s
		}
		if len(c.Choices) == 1 && c.Choices[0].Delta.Content != "" {
			text.WriteString(c.Choices[0].Delta.Content)
			last = time.Now()
			if tokens == 0 {
				first = last
				s.first = last.Sub(s.started)
			}
			tokens++
		}
	}
	if s.outcome != outcomeAnswered {
		return s
	}
	if text.String() != expected(chat) {
		s.outcome = outcomeWrong
		return s
	}
	if tokens > 1 {
		s.between = last.Sub(first) / time.Duration(tokens-1)
	}
	if _, err := io.Copy(io.Discard, body); err == nil {
		conn.MarkComplete()
	}
	return s
}
