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

// Section is one section of a document. Each getter reports a fault in its reader and returns the zero
// value where the value is missing or not allowed.
type Section struct {
	Name   string
	reader *Reader
	keys   []string
	values map[string]string
	used   map[string]bool
}

// Present tells whether the key is set.
func (s *Section) Present(key string) bool {
	_, ok := s.values[key]
	return ok
}

// Add reports a fault of a key.
func (s *Section) Add(key, problem, allowed string) {
	s.reader.Add(s.Name, key, s.values[key], problem, allowed)
}

// Raw returns the text of a key that may be missing.
func (s *Section) Raw(key string) string {
	s.used[key] = true
	return s.values[key]
}

func (s *Section) required(key, allowed string) (string, bool) {
	s.used[key] = true
	value, ok := s.values[key]
	if !ok {
		s.Add(key, "the key is missing", allowed)
	}
	return value, ok
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	wordPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
)

// NameAllowed says what a name may be.
const NameAllowed = "1 to 63 characters of a-z, 0-9, - and ., starting with a letter or digit"

// IsName tells whether the text may name a service, an owner, a zone or an instance.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}

// Key returns a name.
func (s *Section) Key(key string) string {
	value, ok := s.required(key, NameAllowed)
	if ok && !IsName(value) {
		s.Add(key, "not a name", NameAllowed)
	}
	return value
}

// Words returns a list of identifiers of at most most entries; a missing key is an empty list.
func (s *Section) Words(key string, most int) []string {
	text := s.Raw(key)
	if text == "" {
		return nil
	}
	words := strings.Split(text, ",")
	for i, word := range words {
		words[i] = strings.TrimSpace(word)
		if !wordPattern.MatchString(words[i]) {
			s.Add(key, fmt.Sprintf("%q is not an identifier", shortened(words[i])),
				"1 to 64 characters of A-Z, a-z, 0-9 and -, separated by commas")
			return nil
		}
	}
	if len(words) > most {
		s.Add(key, fmt.Sprintf("%d identifiers", len(words)), fmt.Sprintf("at most %d", most))
		return nil
	}
	return words
}

// Integer returns a whole number within bounds.
func (s *Section) Integer(key string, least, most int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d", least, most)
	value, ok := s.required(key, allowed)
	if !ok {
		return 0
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		s.Add(key, "not a whole number", allowed)
		return 0
	}
	if number < least || number > most {
		s.Add(key, "out of range", allowed)
	}
	return number
}

// Number returns a number within bounds.
func (s *Section) Number(key string, least, most float64) float64 {
	allowed := fmt.Sprintf("a number from %g to %g", least, most)
	value, ok := s.required(key, allowed)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) {
		s.Add(key, "not a number", allowed)
		return 0
	}
	if number < least || number > most {
		s.Add(key, "out of range", allowed)
	}
	return number
}

// Duration returns a time span with a unit within bounds.
func (s *Section) Duration(key string, least, most time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration with a unit from %s to %s, such as 140ms", least, most)
	value, ok := s.required(key, allowed)
	if !ok {
		return 0
	}
	span, err := time.ParseDuration(value)
	if err != nil {
		s.Add(key, "not a duration", allowed)
		return 0
	}
	if span < least || span > most {
		s.Add(key, "out of range", allowed)
	}
	return span
}

// Choice returns the position of the value among the words.
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
	s.Add(key, "not one of the allowed words", allowed)
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
		s.Add(key, "not an address", allowed)
	}
	return value
}

// ReportUnknown reports every key that no getter asked for.
func (s *Section) ReportUnknown(known ...string) {
	for _, key := range s.keys {
		if !s.used[key] {
			s.Add(key, "unknown key", strings.Join(known, ", "))
		}
	}
}
