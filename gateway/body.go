package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/kumquathoist/kumquathoist/request"
)

// completionBody holds the parts of a completion request that the router reads.
type completionBody struct {
	model  string
	stream bool
	// streamEnd is the offset in the body after the value of "stream", or 0.
	streamEnd int64
	choices   int
	maxTokens int
	prompt    prompt
	messages  []message
}

// message is one message of a chat.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// prompt is a text, or a list that holds one text.
type prompt struct {
	set  bool
	text []byte
}

// content is the text of a message. A part that is not text, such as an image,
// is included as its JSON. A message may have no content, for example when it
// calls a tool.
type content []byte

// skippedValue is a value that the router does not read.
type skippedValue struct{}

// UnmarshalJSON ignores the value.
func (*skippedValue) UnmarshalJSON([]byte) error { return nil }

// errWrongType is returned for a value of a type that its key does not accept.
var errWrongType = errors.New("the value has the wrong type")

// decodeCompletion decodes the body of a completion request. Keys are case
// sensitive. A duplicate key is refused, since the engine might read the other
// value.
func decodeCompletion(body []byte, chat bool) (completionBody, *request.Failure) {
	b := completionBody{choices: 1}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return b, badBody("it is not a JSON object")
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return b, badBody(err.Error())
		}
		key, _ := token.(string)
		if seen[key] {
			return b, badBody("the key " + strconv.Quote(key) + " stands twice")
		}
		seen[key] = true
		if err := decoder.Decode(b.target(key)); err != nil {
			return b, badBody(key + ": " + err.Error())
		}
		if key == "stream" {
			b.streamEnd = decoder.InputOffset()
		}
	}
	if _, err := decoder.Token(); err != nil {
		return b, badBody("it stops before its end")
	}
	if decoder.More() {
		return b, badBody("there is data after its end")
	}
	return b, b.check(chat)
}

// target returns the destination to decode the value of a key into.
func (b *completionBody) target(key string) any {
	switch key {
	case "model":
		return &b.model
	case "stream":
		return &b.stream
	case "n":
		return &b.choices
	case "max_tokens", "max_completion_tokens":
		return &b.maxTokens
	case "prompt":
		return &b.prompt
	case "messages":
		return &b.messages
	}
	return &skippedValue{}
}

// check returns a failure for a body that no engine could answer.
func (b *completionBody) check(chat bool) *request.Failure {
	switch {
	case b.choices != 1:
		return badBody("n must be 1")
	case b.maxTokens < 0:
		return badBody("the bound on tokens is negative")
	case chat && len(b.messages) == 0:
		return badBody("messages must be a list of messages")
	case !chat && !b.prompt.set:
		return badBody("prompt must be one text")
	}
	for i, m := range b.messages {
		if m.Role == "" {
			return badBody("messages[" + strconv.Itoa(i) + "] has no role")
		}
	}
	return nil
}

// levels returns the parts of the prompt. Each part is a level at which prompts
// can share a prefix.
func (b *completionBody) levels(chat bool) [][]byte {
	if !chat {
		return [][]byte{b.prompt.text}
	}
	levels := make([][]byte, 0, len(b.messages))
	for _, m := range b.messages {
		levels = append(levels, m.Content)
	}
	return levels
}

// withStream returns the body with "stream" set to true. The router always reads
// a stream from the engine, even if the caller waits for the whole answer.
func (b *completionBody) withStream(body []byte) []byte {
	if b.stream {
		return body
	}
	if b.streamEnd == 0 {
		start := bytes.IndexByte(body, '{') + 1
		return bytes.Join([][]byte{body[:start], []byte(`"stream":true,`), body[start:]}, nil)
	}
	before := bytes.TrimSuffix(bytes.TrimSuffix(body[:b.streamEnd], []byte("false")), []byte("null"))
	return bytes.Join([][]byte{before, []byte("true"), body[b.streamEnd:]}, nil)
}

// badBody returns the failure for an invalid body.
func badBody(reason string) *request.Failure {
	return request.Refuse(request.BadRequest, "the body is not a completion request: "+reason)
}

// UnmarshalJSON decodes a text or a list of one text.
func (p *prompt) UnmarshalJSON(raw []byte) error {
	var text string
	p.set = true
	if raw[0] == '"' {
		err := json.Unmarshal(raw, &text)
		p.text = []byte(text)
		return err
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
		return errWrongType
	}
	p.text = []byte(list[0])
	return nil
}

// UnmarshalJSON decodes a text, a list of parts, or null.
func (c *content) UnmarshalJSON(raw []byte) error {
	var text string
	switch {
	case string(raw) == "null":
		return nil
	case raw[0] == '"':
		err := json.Unmarshal(raw, &text)
		*c = []byte(text)
		return err
	}
	var parts []json.RawMessage
	if json.Unmarshal(raw, &parts) != nil {
		return errWrongType
	}
	for _, p := range parts {
		var part struct {
			Type string  `json:"type"`
			Text *string `json:"text"`
		}
		if json.Unmarshal(p, &part) != nil || part.Type == "" {
			return errWrongType
		}
		if part.Type == "text" && part.Text != nil {
			*c = append(*c, *part.Text...)
			continue
		}
		*c = append(*c, p...)
	}
	return nil
}
