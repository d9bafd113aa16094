package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"github.com/filbertmux/filbertmux/base/errkind"
)

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("name") })
	return v
}

// Validate checks s, a pointer to Entry or Sidecar, and reports all faults in
// one line together with the faults found while the values were parsed.
func Validate(s any, parsed *ParseErrors) error {
	faults := append([]string{}, parsed.list()...)
	var invalid validator.ValidationErrors
	if err := checker.Struct(s); errors.As(err, &invalid) {
		for _, f := range invalid {
			if !parsed.has(f.Field()) {
				faults = append(faults, describe(f))
			}
		}
	} else if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "check settings")
	}
	if len(faults) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidSettings, "%s", strings.Join(faults, "; "))
}

// Print writes the settings in force, a pointer to Entry or Sidecar, as one
// JSON object from flag to value, with secrets masked.
func Print(w io.Writer, s any) error {
	values := make(map[string]string)
	collect(reflect.ValueOf(s).Elem(), values)
	out, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if _, err := fmt.Fprintln(w, string(out)); err != nil {
		return errors.Wrap(err, "print settings")
	}
	return nil
}

func collect(v reflect.Value, values map[string]string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			collect(v.Field(i), values)
			continue
		}
		values[field.Tag.Get("name")] = fmt.Sprint(v.Field(i).Interface())
	}
}

func describe(f validator.FieldError) string {
	flag := "--" + f.Field()
	switch f.Tag() {
	case "required":
		return flag + " is required"
	case "required_with":
		return flag + " is required with --group"
	case "hostname_port":
		return fmt.Sprintf("%s %q: want host:port", flag, f.Value())
	case "http_url":
		return fmt.Sprintf("%s %q: want http://host:port", flag, f.Value())
	case "oneof":
		return fmt.Sprintf("%s %q: want one of %s", flag, f.Value(), f.Param())
	case "min":
		return fmt.Sprintf("%s: must be at least %s", flag, f.Param())
	case "max":
		return fmt.Sprintf("%s: must be at most %s", flag, f.Param())
	case "gtfield":
		return fmt.Sprintf("%s: must be greater than %s", flag, f.Param())
	default:
		return fmt.Sprintf("%s: must satisfy %s %s", flag, f.Tag(), f.Param())
	}
}
