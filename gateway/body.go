package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/kumquathoist/kumquathoist/request"
)

// completionBody is what the router reads of a completion request.
type completionBody struct {
	model  string
	stream bool
	// streamEnd is where the value of "stream" ends in the body, or 0.
	streamEnd int64
	answers   int
	tokens    int
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

// content is the text of a message's content. A part that is not text, such
// as an image, counts as its JSON. A message may have no content, for
// instance when it calls a tool.
type content []byte

// ignored is a value that the router does not read.
type ignored struct{}

// UnmarshalJSON reads nothing.
func (*ignored) UnmarshalJSON([]byte) error { return nil }

// errWrongType tells that a value is not of the type that its key wants.
var errWrongType = errors.New("the value has the wrong type")

// decodeCompletion reads the body of a completion request. Keys keep their
// case, and a key that stands twice is refused: the engine might read the
// other one.
func decodeCompletion(body []byte, chat bool) (completionBody, *request.Failure) {
	b := completionBody{answers: 1}
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

// target returns where the value of a key goes.
func (b *completionBody) target(key string) any {
	switch key {
	case "model":
		return &b.model
	case "stream":
		return &b.stream
	case "n":
		return &b.answers
	case "max_tokens", "max_completion_tokens":
		return &b.tokens
	case "prompt":
		return &b.prompt
	case "messages":
		return &b.messages
	}
	return &ignored{}
}

// check refuses a body that no engine could answer.
func (b *completionBody) check(chat bool) *request.Failure {
	switch {
	case b.answers != 1:
		return badBody("n must be 1")
	case b.tokens < 0:
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

// levels returns the parts of the prompt, each a level of sharing.
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

// streamed returns the body with "stream" set: the router always reads a
// stream from the engine, also for a caller who waits for the whole answer.
func (b *completionBody) streamed(body []byte) []byte {
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

// badBody refuses a body.
func badBody(why string) *request.Failure {
	return request.Refuse(request.BadRequest, "the body is not a completion request: "+why)
}

// UnmarshalJSON reads a text or a list of one text.
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

// UnmarshalJSON reads a text, a list of parts, or null.
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
