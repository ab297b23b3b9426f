package gateway

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/kumquathoist/kumquathoist/request"
)

// fields are the top-level keys of a JSON object and their values. Keys keep
// their case: an engine tells "model" from "Model", and so must the router.
type fields map[string]json.RawMessage

// decodeFields reads one JSON object. A key that stands twice is refused,
// since the engine might read the other one.
func decodeFields(body []byte) (fields, *request.Failure) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, badBody("it is not a JSON object")
	}
	found := fields{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, badBody(err.Error())
		}
		key, _ := token.(string)
		if _, twice := found[key]; twice {
			return nil, badBody("the key " + strconv.Quote(key) + " stands twice")
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, badBody(err.Error())
		}
		found[key] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, badBody("it stops before its end")
	}
	if decoder.More() {
		return nil, badBody("there is data after its end")
	}
	return found, nil
}

// badBody refuses a body.
func badBody(why string) *request.Failure {
	return request.Refuse(request.BadRequest, "the body is not a completion request: "+why)
}

// completionBody is what the router reads of a completion request.
type completionBody struct {
	model  string
	stream bool
	// levels are the parts of the prompt, each a level of sharing.
	levels [][]byte
}

// decodeCompletion reads the body of a completion request.
func decodeCompletion(found fields, chat bool) (completionBody, *request.Failure) {
	var b completionBody
	answers, tokens := 1, 0
	scalars := []struct {
		key  string
		into any
	}{
		{"model", &b.model}, {"stream", &b.stream}, {"n", &answers},
		{"max_tokens", &tokens}, {"max_completion_tokens", &tokens},
	}
	for _, s := range scalars {
		if raw, ok := found[s.key]; ok && json.Unmarshal(raw, s.into) != nil {
			return b, badBody(s.key + " has the wrong type")
		}
		if tokens < 0 {
			return b, badBody(s.key + " is negative")
		}
	}
	if answers != 1 {
		return b, badBody("n must be 1")
	}
	var failure *request.Failure
	if chat {
		b.levels, failure = messageLevels(found["messages"])
	} else {
		b.levels, failure = promptLevels(found["prompt"])
	}
	return b, failure
}

// promptLevels reads a prompt: a text, or a list that holds one text.
func promptLevels(raw json.RawMessage) ([][]byte, *request.Failure) {
	var text string
	if len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &text) == nil {
		return [][]byte{[]byte(text)}, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
		return nil, badBody("prompt must be one text")
	}
	return [][]byte{[]byte(list[0])}, nil
}

// messageLevels reads the messages of a chat; each is a level.
func messageLevels(raw json.RawMessage) ([][]byte, *request.Failure) {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(raw, &messages) != nil || len(messages) == 0 {
		return nil, badBody("messages must be a list of messages")
	}
	levels := make([][]byte, 0, len(messages))
	for i, m := range messages {
		if m.Role == "" {
			return nil, badBody("messages[" + strconv.Itoa(i) + "] has no role")
		}
		level, ok := contentText(m.Content)
		if !ok {
			return nil, badBody("messages[" + strconv.Itoa(i) + "].content must be a text or a list of parts")
		}
		levels = append(levels, level)
	}
	return levels, nil
}

// contentText returns the text of a message's content. A part that is not
// text, such as an image, counts as its JSON. A message may have no content,
// for instance when it calls a tool.
func contentText(raw json.RawMessage) ([]byte, bool) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, true
	}
	var text string
	if raw[0] == '"' {
		err := json.Unmarshal(raw, &text)
		return []byte(text), err == nil
	}
	var parts []json.RawMessage
	if json.Unmarshal(raw, &parts) != nil {
		return nil, false
	}
	var joined []byte
	for _, p := range parts {
		var part struct {
			Type string  `json:"type"`
			Text *string `json:"text"`
		}
		if json.Unmarshal(p, &part) != nil || part.Type == "" {
			return nil, false
		}
		if part.Type == "text" && part.Text != nil {
			joined = append(joined, *part.Text...)
			continue
		}
		joined = append(joined, p...)
	}
	return joined, true
}

// streamed returns the body with "stream" set: the router always reads a
// stream from the engine, also for a caller who waits for the whole answer.
func (f fields) streamed() []byte {
	f["stream"] = json.RawMessage("true")
	raw, _ := json.Marshal(f)
	return raw
}
