// Package document parses INI documents strictly, for the catalogue and for the process settings.
//
// A Reader collects the faults of a document and reports all of them together, with file, section, key, value and what
// is allowed. The package reads no file and applies no default that its caller did not give.
package document

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a document. The platform's store takes values of up to 1 MB.
const MaxBytes = 1_000_000

// Fault is one error in a document.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	// Problem describes the error.
	Problem string `json:"problem"`
	// Allowed describes what is allowed; it may be empty.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the fault in the form "file: [section] key = value: problem; allowed: ...".
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

// Faults lists every error in a document. It is empty for a valid document.
type Faults []Fault

// Error implements error, with one fault per line.
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

// Reader holds the sections of one document and collects its faults.
type Reader struct {
	file     string
	sections []*Section
	faults   Faults
}

// NewReader splits a document into its sections. file names the document in the faults. Sections and keys that occur
// twice are faults, because INI parsers differ in which occurrence they use.
func NewReader(file, text string) *Reader {
	r := &Reader{file: file}
	if len(text) > MaxBytes {
		r.AddFault("", "", "", fmt.Sprintf("the document has %d bytes", len(text)),
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
	}, []byte(r.blankUnreadableLines(text)))
	if err != nil {
		r.AddFault("", "", "", err.Error(), "INI sections and keys")
		return r
	}
	seen := make(map[string]bool)
	for _, section := range parsed.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if seen[name] {
			r.AddFault(name, "", "", "the section occurs more than once", "each section once")
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

// blankUnreadableLines reports the lines that are not a section, a key or a comment, and replaces them with empty
// lines. The INI library would stop at the first of them, and it would read a multi-line quoted value across the lines
// that follow.
func (r *Reader) blankUnreadableLines(text string) string {
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
			r.AddFault("", fmt.Sprintf("line %d", i+1), truncated(trimmed), "the line is not readable",
				"[section], key = value on one line, or a comment after ; or #")
			lines[i] = ""
		}
	}
	return strings.Join(lines, "\n")
}

// truncated returns at most the first 80 bytes of a line, for a fault.
func truncated(line string) string {
	const maxLength = 80
	if len(line) > maxLength {
		return line[:maxLength] + "..."
	}
	return line
}

// newSection copies a parsed section and reports the keys that occur more than once.
func (r *Reader) newSection(parsed *ini.Section) *Section {
	s := &Section{Name: parsed.Name(), reader: r, values: make(map[string]string), used: make(map[string]bool)}
	if s.Name == ini.DefaultSection {
		s.Name = ""
	}
	for _, key := range parsed.Keys() {
		s.keys = append(s.keys, key.Name())
		all := key.ValueWithShadows()
		if len(all) > 1 {
			r.AddFault(s.Name, key.Name(), "", fmt.Sprintf("the key occurs %d times", len(all)), "each key once")
		}
		s.values[key.Name()] = key.Value()
	}
	return s
}

// Sections returns the sections in the order of the document. Keys before the first section header are in a section
// with an empty name.
func (r *Reader) Sections() []*Section {
	return r.sections
}

// Section returns the section with that name, or an empty one if there is none.
func (r *Reader) Section(name string) *Section {
	for _, section := range r.sections {
		if section.Name == name {
			return section
		}
	}
	return &Section{Name: name, reader: r, used: make(map[string]bool)}
}

// AddFault records a fault.
func (r *Reader) AddFault(section, key, value, problem, allowed string) {
	r.faults = append(r.faults, Fault{r.file, section, key, value, problem, allowed})
}

// Faults returns the faults that have been found so far.
func (r *Reader) Faults() Faults {
	return r.faults
}
