package wigeoncaller

import (
	"encoding/json"
	"strconv"
	"time"

	"wigeonshift"
)

// appendString appends text as a JSON string.
func appendString(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(text) //nolint:errchkjson // a string can always be encoded
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

// responseEncoder encodes the response to one completion request as JSON.
type responseEncoder struct {
	id      wigeonshift.RequestID
	model   string
	chat    bool
	created time.Time
}

// appendObjectHead appends the start of a response object, up to the fields of its only choice.
func (e *responseEncoder) appendObjectHead(b []byte, object string) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, string(e.id))
	b = append(b, `,"object":"`...)
	b = append(b, object...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, e.created.Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendString(b, e.model)
	return append(b, `,"choices":[{"index":0,`...)
}

// appendCompletion appends a response that is not streamed.
func (e *responseEncoder) appendCompletion(b []byte, text string, g wigeonshift.GenerateResult) []byte {
	if e.chat {
		b = e.appendObjectHead(b, "chat.completion")
		b = append(b, `"message":{"role":"assistant","content":`...)
		b = appendString(b, text)
		b = append(b, '}')
	} else {
		b = e.appendObjectHead(b, "text_completion")
		b = append(b, `"text":`...)
		b = appendString(b, text)
	}
	b = append(b, `,"finish_reason":`...)
	b = appendString(b, string(g.Finish))
	b = append(b, "}],"...)
	b = appendUsage(b, g)
	return append(b, '}')
}

// appendEvent appends an event with a piece of text to a streamed response.
func (e *responseEncoder) appendEvent(b []byte, text string) []byte {
	b = e.appendEventHead(b, text)
	return append(b, "null}]}\n\n"...)
}

// appendFinalEvents appends the last events of a complete streamed response: the finish reason with the token usage and
// the end marker.
func (e *responseEncoder) appendFinalEvents(b []byte, g wigeonshift.GenerateResult) []byte {
	b = e.appendEventHead(b, "")
	b = appendString(b, string(g.Finish))
	b = append(b, "}],"...)
	b = appendUsage(b, g)
	return append(b, "}\n\ndata: [DONE]\n\n"...)
}

// appendEventHead appends the start of an event, up to the value of finish_reason.
func (e *responseEncoder) appendEventHead(b []byte, text string) []byte {
	b = append(b, "data: "...)
	if e.chat {
		b = e.appendObjectHead(b, "chat.completion.chunk")
		b = append(b, `"delta":{"content":`...)
		b = appendString(b, text)
		b = append(b, '}')
	} else {
		b = e.appendObjectHead(b, "text_completion")
		b = append(b, `"text":`...)
		b = appendString(b, text)
	}
	return append(b, `,"finish_reason":`...)
}

func appendUsage(b []byte, g wigeonshift.GenerateResult) []byte {
	b = append(b, `"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(g.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(g.TokensDone), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(g.PromptTokens+g.TokensDone), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(g.CachedTokens), 10)
	return append(b, "}}"...)
}
