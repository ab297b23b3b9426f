package standin

import "encoding/json"

// promptOf returns the text that is split into pieces for the cache: the prompt,
// or the contents of the messages. Content parts that are not text are included
// as their JSON.
func promptOf(body completionBody) []byte {
	if len(body.Messages) == 0 {
		return contentText(body.Prompt)
	}
	var messages []struct {
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(body.Messages, &messages) != nil {
		return body.Messages
	}
	var prompt []byte
	for _, m := range messages {
		prompt = append(prompt, contentText(m.Content)...)
	}
	return prompt
}

// contentText returns the text of a JSON string or of a list of strings and parts.
func contentText(raw json.RawMessage) []byte {
	var plain string
	if json.Unmarshal(raw, &plain) == nil {
		return []byte(plain)
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return raw
	}
	var joined []byte
	for _, item := range list {
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		switch {
		case item[0] == '"':
			joined = append(joined, contentText(item)...)
		case json.Unmarshal(item, &part) == nil && part.Type == "text":
			joined = append(joined, part.Text...)
		default:
			joined = append(joined, item...)
		}
	}
	return joined
}
