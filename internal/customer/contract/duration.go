package contract

import (
	"strconv"
	"time"
)

// Duration is a time.Duration written as text, such as 250ms.
type Duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the duration as time.ParseDuration does. It fails with a
// *DurationError.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// DurationError reports text that is not a duration.
type DurationError struct {
	Text string
}

// Error returns the text and examples of valid durations.
func (e *DurationError) Error() string {
	return strconv.Quote(e.Text) + " is not a duration such as 250ms or 2s"
}
