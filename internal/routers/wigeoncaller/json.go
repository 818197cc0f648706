package wigeoncaller

import (
	"encoding/json"
	"strconv"
	"time"

	"wigeonshift"
)

// appendString appends a JSON string.
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

// answerWriter makes the JSON of one completion's answer.
type answerWriter struct {
	id      wigeonshift.RequestID
	model   string
	chat    bool
	created time.Time
}

// appendHead appends the object up to the one choice.
func (w *answerWriter) appendHead(b []byte, object string) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, string(w.id))
	b = append(b, `,"object":"`...)
	b = append(b, object...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, w.created.Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendString(b, w.model)
	return append(b, `,"choices":[{"index":0,`...)
}

// appendWhole appends the whole answer.
func (w *answerWriter) appendWhole(b []byte, text string, g wigeonshift.GenerateResult) []byte {
	if w.chat {
		b = w.appendHead(b, "chat.completion")
		b = append(b, `"message":{"role":"assistant","content":`...)
		b = appendString(b, text)
		b = append(b, '}')
	} else {
		b = w.appendHead(b, "text_completion")
		b = append(b, `"text":`...)
		b = appendString(b, text)
	}
	b = append(b, `,"finish_reason":`...)
	b = appendString(b, string(g.Finish))
	b = append(b, "}],"...)
	b = appendUsage(b, g)
	return append(b, '}')
}

// appendFrame appends one event of a streamed answer.
func (w *answerWriter) appendFrame(b []byte, text string) []byte {
	b = w.appendDelta(b, text)
	return append(b, "null}]}\n\n"...)
}

// appendLast appends the last events of a whole streamed answer.
func (w *answerWriter) appendLast(b []byte, g wigeonshift.GenerateResult) []byte {
	b = w.appendDelta(b, "")
	b = appendString(b, string(g.Finish))
	b = append(b, "}],"...)
	b = appendUsage(b, g)
	return append(b, "}\n\ndata: [DONE]\n\n"...)
}

// appendDelta appends an event up to the value of finish_reason.
func (w *answerWriter) appendDelta(b []byte, text string) []byte {
	b = append(b, "data: "...)
	if w.chat {
		b = w.appendHead(b, "chat.completion.chunk")
		b = append(b, `"delta":{"content":`...)
		b = appendString(b, text)
		b = append(b, '}')
	} else {
		b = w.appendHead(b, "text_completion")
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
