// Package settings reads and validates the TOML settings of slatebridge-gateway,
// slatebridge-controller and the slatebridge command, and the operator's declarations. Package
// platform reads the settings of slatebridge-box.
//
// Errors name the file and, if known, the line and the key.
package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is a validation error of one key.
type Problem struct {
	// Key is the dotted key, such as "listen.callers".
	Key string
	// Message describes the error.
	Message string
}

// validator is a settings type that validates its values.
type validator interface {
	// problems returns the validation errors, or none if the settings are valid.
	problems() []Problem
}

// Error holds the errors of a settings file, at least one.
type Error struct {
	Lines []string
}

// Error returns all lines, separated by newlines.
func (e *Error) Error() string {
	return strings.Join(e.Lines, "\n")
}

// load reads the file into v, which holds the defaults, and validates the result.
func load[T validator](file string, v T) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return v, errors.Wrap(err, "settings")
	}

	return parse(file, data, v)
}

// parse decodes data into v, which holds the defaults, and validates the result. The file name is
// used in errors only.
func parse[T validator](file string, data []byte, v T) (T, error) {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, decodeError(file, err)
	}
	var e Error
	lines := keyLines(data)
	for _, p := range v.problems() {
		e.Lines = append(e.Lines, location(file, lines[p.Key], p.Key)+p.Message)
	}
	if len(e.Lines) > 0 {
		return v, &e
	}

	return v, nil
}

// location returns the prefix "file:line: key: ", without the line if it is zero because the file
// does not contain the key. The key is empty if the error is one of syntax.
func location(file string, line int, key string) string {
	if line == 0 {
		return fmt.Sprintf("%s: %s: ", file, key)
	}

	return fmt.Sprintf("%s:%d: %s: ", file, line, key)
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var e Error
		for _, d := range strict.Errors {
			line, _ := d.Position()
			e.Lines = append(e.Lines, location(file, line, strings.Join(d.Key(), "."))+"unknown key")
		}

		return &e
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, _ := d.Position()

		return &Error{Lines: []string{location(file, line, strings.Join(d.Key(), ".")) + d.Error()}}
	}

	return &Error{Lines: []string{file + ": " + err.Error()}}
}

// keyLines returns the line number of each dotted key in the file. For a key that occurs in several
// tables of an array, such as [[template]], it is the last line.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	var table []string
	for p.NextExpression() {
		node := p.Expression()
		key, line := keyAndLine(&p, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key
			lines[strings.Join(key, ".")] = line
		case unstable.KeyValue:
			full := strings.Join(append(append([]string(nil), table...), key...), ".")
			lines[full] = line
		default:
		}
	}

	return lines
}

// keyAndLine returns the key of a TOML expression and its line number.
func keyAndLine(p *unstable.Parser, node *unstable.Node) (key []string, line int) {
	for it := node.Key(); it.Next(); {
		part := it.Node()
		key = append(key, string(part.Data))
		line = p.Shape(part.Raw).Start.Line
	}

	return key, line
}
