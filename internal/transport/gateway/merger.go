package gateway

import (
	"encoding/json"
	"maps"
	"slices"
)

// object is a JSON object with fields that the engine defines.
type object = map[string]any

// merger joins the chunks of a streamed response into one object and keeps all fields that the engine sent.
type merger struct {
	base    object         // all fields but choices
	choices map[int]object // by their index
}

func (m *merger) add(data []byte) error {
	var o object
	if err := json.Unmarshal(data, &o); err != nil {
		return brokenResponse("a chunk can't be read")
	}
	if m.base == nil {
		m.base = object{}
		m.choices = map[int]object{}
	}
	l, _ := o["choices"].([]any)
	delete(o, "choices")
	for k, v := range o {
		if v != nil || m.base[k] == nil {
			m.base[k] = v
		}
	}
	for _, c := range l {
		if c, ok := c.(object); ok {
			m.addChoice(c)
		}
	}
	return nil
}

// result returns the response in the form that a request without streaming gets: the joined deltas become messages.
func (m *merger) result() object {
	if m.base["object"] == "chat.completion.chunk" {
		m.base["object"] = "chat.completion"
	}
	l := []any{}
	for _, i := range slices.Sorted(maps.Keys(m.choices)) {
		c := m.choices[i]
		if d, ok := c["delta"]; ok {
			c["message"] = d
			delete(c, "delta")
		}
		l = append(l, c)
	}
	m.base["choices"] = l
	return m.base
}

func (m *merger) addChoice(c object) {
	i := indexOf(c)
	if m.choices[i] == nil {
		m.choices[i] = object{}
	}
	merge(m.choices[i], c)
}

// merge adds the fields of a later chunk to an object: strings are appended, objects merged, lists merged by index, and
// all else is replaced. A null replaces nothing.
func merge(to, from object) {
	for k, v := range from {
		switch v := v.(type) {
		case nil:
			if _, ok := to[k]; !ok {
				to[k] = nil
			}
		case string:
			s, _ := to[k].(string)
			if isReplaced(k) {
				s = ""
			}
			to[k] = s + v
		case object:
			o, ok := to[k].(object)
			if !ok {
				o = object{}
				to[k] = o
			}
			merge(o, v)
		case []any:
			l, _ := to[k].([]any)
			to[k] = mergeList(l, v)
		default:
			to[k] = v
		}
	}
}

// mergeList merges elements with an index into those of the same index and appends all others.
func mergeList(to, from []any) []any {
	for _, v := range from {
		o, ok := v.(object)
		if _, numbered := o["index"]; !ok || !numbered {
			to = append(to, v)
			continue
		}
		if p := findIndex(to, indexOf(o)); p != nil {
			merge(p, o)
			continue
		}
		to = append(to, o)
	}
	return to
}

// findIndex returns the object with an index, or nil.
func findIndex(l []any, index int) object {
	for _, v := range l {
		if o, ok := v.(object); ok && indexOf(o) == index {
			return o
		}
	}
	return nil
}

// indexOf returns the index that an object states, or 0.
func indexOf(o object) int {
	f, _ := o["index"].(float64)
	return int(f)
}

// isReplaced reports whether a later string replaces the earlier one, as the field holds an identifier and not
// generated text.
func isReplaced(field string) bool {
	switch field {
	case "role", "id", "type", "finish_reason":
		return true
	default:
		return false
	}
}
