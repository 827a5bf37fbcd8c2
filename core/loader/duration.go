package loader

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time span in settings, written as text like "1.5s".
type Duration time.Duration

// UnmarshalJSON reads the text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%w: duration %s is not text", ErrInvalid, data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
