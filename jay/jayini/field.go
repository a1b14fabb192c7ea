package jayini

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bool returns a field that accepts yes and no.
func Bool(name string, target *bool) Field {
	return Field{Name: name, Set: func(value string) error {
		switch value {
		case "yes":
			*target = true
		case "no":
			*target = false
		default:
			return errors.Errorf("%q is not yes or no", value)
		}
		return nil
	}}
}

// Duration returns a field that accepts a duration of at least least, such as 2s.
func Duration(name string, target *time.Duration, least time.Duration) Field {
	return Field{Name: name, Set: func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return errors.Errorf("%q is not a duration; write 500ms, 2s or 1m", value)
		}
		if d < least {
			return errors.Errorf("%s is below the least value %s", d, least)
		}
		*target = d
		return nil
	}}
}

// Enum returns a field that accepts one of the given words.
func Enum[T ~string](name string, target *T, accepted ...T) Field {
	return Field{Name: name, Set: func(value string) error {
		words := make([]string, 0, len(accepted))
		for _, a := range accepted {
			if string(a) == value {
				*target = a
				return nil
			}
			words = append(words, string(a))
		}
		return errors.Errorf("%q is not one of %s", value, strings.Join(words, ", "))
	}}
}

// Float returns a field that accepts a number from least to most.
func Float(name string, target *float64, least, most float64) Field {
	return Field{Name: name, Set: func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= least && n <= most) {
			return errors.Errorf("%q is not a number from %g to %g", value, least, most)
		}
		*target = n
		return nil
	}}
}

// Int returns a field that accepts a whole number from least to most.
func Int(name string, target *int, least, most int) Field {
	return Field{Name: name, Set: func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < least || n > most {
			return errors.Errorf("%q is not a whole number from %d to %d", value, least, most)
		}
		*target = n
		return nil
	}}
}

// leastKey is the least length of a secret key in characters.
const leastKey = 16

// Secret returns a field that accepts a secret key.
func Secret(name string, target *string) Field {
	return Field{Name: name, Set: func(value string) error {
		if len(value) < leastKey {
			return errors.Errorf("key has %d characters; use %d or more", len(value), leastKey)
		}
		*target = value
		return nil
	}}
}

// Required returns the field made required.
func Required(field Field) Field {
	field.Required = true
	return field
}

// String returns a field that accepts any text that is not empty.
func String(name string, target *string) Field {
	return Field{Name: name, Set: func(value string) error {
		if value == "" {
			return errors.New("value is empty")
		}
		*target = value
		return nil
	}}
}
