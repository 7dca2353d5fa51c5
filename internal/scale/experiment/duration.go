package experiment

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is a string such as "1.5s" in JSON. An invalid value is kept until
// the file is validated, so that the error can name its key.
type Duration struct {
	time.Duration
	invalid string
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(content []byte) error {
	var text string
	if err := json.Unmarshal(content, &text); err != nil {
		*d = Duration{invalid: string(content)}
		return nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		*d = Duration{invalid: string(content)}
		return nil
	}
	*d = Duration{Duration: parsed}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }
