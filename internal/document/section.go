package document

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Section is one section of a document. Each getter records a fault in the reader if the value is missing or not
// allowed. A value that is missing or has the wrong type is returned as the zero value.
type Section struct {
	Name   string
	reader *Reader
	keys   []string
	values map[string]string
	// used holds the keys that a getter has read.
	used map[string]bool
}

// Present reports whether the key is set.
func (s *Section) Present(key string) bool {
	_, ok := s.values[key]
	return ok
}

// AddFault records a fault of a key.
func (s *Section) AddFault(key, problem, allowed string) {
	s.reader.AddFault(s.Name, key, s.values[key], problem, allowed)
}

// OptionalText returns the text of an optional key, or "" if it is not set.
func (s *Section) OptionalText(key string) string {
	s.used[key] = true
	return s.values[key]
}

// required returns the text of a key and records a fault if the key is not set.
func (s *Section) required(key, allowed string) (string, bool) {
	s.used[key] = true
	value, ok := s.values[key]
	if !ok {
		s.AddFault(key, "the key is missing", allowed)
	}
	return value, ok
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	wordPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
)

// NameAllowed describes the form of a name, for faults.
const NameAllowed = "1 to 63 characters of a-z, 0-9, - and ., starting with a letter or digit"

// IsName reports whether the text is a valid name of a service, an owner, an application, a zone or an instance.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}

// RequiredName returns the value of a required key that holds a name.
func (s *Section) RequiredName(key string) string {
	value, ok := s.required(key, NameAllowed)
	if ok && !IsName(value) {
		s.AddFault(key, "not a name", NameAllowed)
	}
	return value
}

// Identifiers returns the comma-separated identifiers of an optional key, at most maxCount of them. A key that is not
// set gives an empty list.
func (s *Section) Identifiers(key string, maxCount int) []string {
	text := s.OptionalText(key)
	if text == "" {
		return nil
	}
	words := strings.Split(text, ",")
	for i, word := range words {
		words[i] = strings.TrimSpace(word)
		if !wordPattern.MatchString(words[i]) {
			s.AddFault(key, fmt.Sprintf("%q is not an identifier", truncated(words[i])),
				"1 to 64 characters of A-Z, a-z, 0-9 and -, separated by commas")
			return nil
		}
	}
	if len(words) > maxCount {
		s.AddFault(key, fmt.Sprintf("%d identifiers", len(words)), fmt.Sprintf("at most %d", maxCount))
		return nil
	}
	return words
}

// Integer returns a whole number from minValue to maxValue.
func (s *Section) Integer(key string, minValue, maxValue int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d", minValue, maxValue)
	value, ok := s.required(key, allowed)
	if !ok {
		return 0
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		s.AddFault(key, "not a whole number", allowed)
		return 0
	}
	if number < minValue || number > maxValue {
		s.AddFault(key, "out of range", allowed)
	}
	return number
}

// Number returns a number from minValue to maxValue.
func (s *Section) Number(key string, minValue, maxValue float64) float64 {
	allowed := fmt.Sprintf("a number from %g to %g", minValue, maxValue)
	value, ok := s.required(key, allowed)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) {
		s.AddFault(key, "not a number", allowed)
		return 0
	}
	if number < minValue || number > maxValue {
		s.AddFault(key, "out of range", allowed)
	}
	return number
}

// Duration returns a duration from minValue to maxValue; the text must have a unit.
func (s *Section) Duration(key string, minValue, maxValue time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration with a unit from %s to %s, such as 140ms", minValue, maxValue)
	value, ok := s.required(key, allowed)
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(value)
	if err != nil {
		s.AddFault(key, "not a duration", allowed)
		return 0
	}
	if duration < minValue || duration > maxValue {
		s.AddFault(key, "out of range", allowed)
	}
	return duration
}

// Choice returns the index of the value in words.
func (s *Section) Choice(key string, words ...string) int {
	allowed := strings.Join(words, " | ")
	value, ok := s.required(key, allowed)
	if !ok {
		return 0
	}
	for i, word := range words {
		if value == word {
			return i
		}
	}
	s.AddFault(key, "not one of the allowed words", allowed)
	return 0
}

// Address returns an IP address with a port.
func (s *Section) Address(key string) string {
	const allowed = "IP:port, such as 10.0.0.5:7070"
	value, ok := s.required(key, allowed)
	if !ok {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.AddFault(key, "not an address", allowed)
	}
	return value
}

// ReportUnknown records a fault for every key that no getter has read. The fault lists the known keys.
func (s *Section) ReportUnknown(known ...string) {
	for _, key := range s.keys {
		if !s.used[key] {
			s.AddFault(key, "unknown key", strings.Join(known, ", "))
		}
	}
}
