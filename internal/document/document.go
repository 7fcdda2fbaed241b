// Package document reads INI documents strictly, for the catalogue and for the process settings.
//
// A Reader owns the faults that it found; it reports all of them together, with file, section, key,
// value and what is allowed. The package reads no file and never applies a default that its caller
// did not give.
package document

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the largest document. The platform's store takes values up to 1 MB.
const MaxBytes = 1_000_000

// Fault is one thing wrong with a document.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Allowed says what would be right; it may be empty.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	var line strings.Builder
	line.WriteString(f.File)
	if f.Section != "" || f.Key != "" {
		line.WriteString(":")
	}
	if f.Section != "" {
		fmt.Fprintf(&line, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&line, " %s", f.Key)
	}
	if f.Value != "" {
		fmt.Fprintf(&line, " = %s", f.Value)
	}
	fmt.Fprintf(&line, ": %s", f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&line, "; allowed: %s", f.Allowed)
	}
	return line.String()
}

// Faults is everything wrong with a document; empty means that it is right.
type Faults []Fault

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Reader gives the sections of one document and collects its faults.
type Reader struct {
	file     string
	sections []*Section
	faults   Faults
}

// NewReader splits a document into its sections. Sections and keys that occur twice are faults,
// because INI readers differ in which of them counts.
func NewReader(file, text string) *Reader {
	r := &Reader{file: file}
	if len(text) > MaxBytes {
		r.Add("", "", "", fmt.Sprintf("the document has %d bytes", len(text)),
			fmt.Sprintf("at most %d bytes, the limit of one value in the platform's store", MaxBytes))
		return r
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		PreserveSurroundedQuote:    true,
		KeyValueDelimiters:         "=",
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}, []byte(r.withoutUnreadable(text)))
	if err != nil {
		r.Add("", "", "", err.Error(), "INI sections and keys")
		return r
	}
	seen := make(map[string]bool)
	for _, section := range parsed.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if seen[name] {
			r.Add(name, "", "", "the section occurs more than once", "each section once")
		}
		seen[name] = true
		r.sections = append(r.sections, r.newSection(section))
	}
	return r
}

var (
	sectionLine = regexp.MustCompile(`^\[[^\[\]"` + "`" + `]+\]\s*([;#].*)?$`)
	keyLine     = regexp.MustCompile(`^[A-Za-z0-9._-]+\s*=`)
	quotedValue = regexp.MustCompile("^[^=]*=\\s*(\"\"\"|`)")
)

// withoutUnreadable reports the lines that are neither section, key nor comment and leaves them out:
// the INI library would stop at the first of them, and would read the quotes of multi-line values
// across the following lines.
func (r *Reader) withoutUnreadable(text string) string {
	text = strings.TrimPrefix(text, "\ufeff")
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		lines[i] = trimmed
		switch {
		case trimmed == "" || trimmed[0] == ';' || trimmed[0] == '#':
		case sectionLine.MatchString(trimmed):
		case keyLine.MatchString(trimmed) && !quotedValue.MatchString(trimmed):
		default:
			r.Add("", fmt.Sprintf("line %d", i+1), shortened(trimmed), "the line is not readable",
				"[section], key = value on one line, or a comment after ; or #")
			lines[i] = ""
		}
	}
	return strings.Join(lines, "\n")
}

func shortened(line string) string {
	const most = 80
	if len(line) > most {
		return line[:most] + "..."
	}
	return line
}

func (r *Reader) newSection(parsed *ini.Section) *Section {
	s := &Section{Name: parsed.Name(), reader: r, values: make(map[string]string), used: make(map[string]bool)}
	if s.Name == ini.DefaultSection {
		s.Name = ""
	}
	for _, key := range parsed.Keys() {
		s.keys = append(s.keys, key.Name())
		all := key.ValueWithShadows()
		if len(all) > 1 {
			r.Add(s.Name, key.Name(), "", fmt.Sprintf("the key occurs %d times", len(all)), "each key once")
		}
		s.values[key.Name()] = key.Value()
	}
	return s
}

// Sections returns the sections in the order of the document. Keys before the first section are in a
// section with an empty name.
func (r *Reader) Sections() []*Section {
	return r.sections
}

// Section returns the section of that name, an empty one if there is none.
func (r *Reader) Section(name string) *Section {
	for _, section := range r.sections {
		if section.Name == name {
			return section
		}
	}
	return &Section{Name: name, reader: r, used: make(map[string]bool)}
}

// Add reports a fault.
func (r *Reader) Add(section, key, value, problem, allowed string) {
	r.faults = append(r.faults, Fault{r.file, section, key, value, problem, allowed})
}

// Faults returns everything that was found so far.
func (r *Reader) Faults() Faults {
	return r.faults
}
