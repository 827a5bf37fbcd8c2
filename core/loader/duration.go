package loader

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a duration in settings, written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON parses a duration from a JSON string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%w: duration %s is not a string", ErrInvalid, data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON returns the duration as a JSON string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
