package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
)

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "FILBERTMUX"

// Faults collects values that can't be parsed, so that one start reports all of
// them together with the values that are out of range. kong itself stops at the
// first one. Faults belongs to the goroutine that parses.
type ParseErrors struct {
	order  []string
	byFlag map[string]string
}

// Options returns the kong options under which the settings structs parse.
func (f *ParseErrors) KongOptions() []kong.Option {
	return []kong.Option{
		kong.DefaultEnvars(EnvPrefix),
		kong.KindMapper(reflect.Int, kong.MapperFunc(f.decodeInt)),
		kong.TypeMapper(reflect.TypeFor[time.Duration](), kong.MapperFunc(f.decodeDuration)),
	}
}

func (f *ParseErrors) decodeInt(ctx *kong.DecodeContext, target reflect.Value) error {
	text, err := scan(ctx)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(text)
	target.SetInt(int64(n))
	f.note(ctx.Value.Name, text, "a whole number", err)
	return nil
}

func (f *ParseErrors) decodeDuration(ctx *kong.DecodeContext, target reflect.Value) error {
	text, err := scan(ctx)
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	target.SetInt(int64(d))
	f.note(ctx.Value.Name, text, "a duration such as 1.5s", err)
	return nil
}

func scan(ctx *kong.DecodeContext) (string, error) {
	token, err := ctx.Scan.PopValue(ctx.Value.Name)
	if err != nil {
		return "", err
	}
	return fmt.Sprint(token.Value), nil
}

// note records the fault of a flag. A bad value in the environment is a fault
// even if a flag overrides it, because kong decodes both in no useful order.
func (f *ParseErrors) note(flag, text, want string, err error) {
	if err == nil {
		return
	}
	if f.byFlag == nil {
		f.byFlag = make(map[string]string)
	}
	if !f.has(flag) {
		f.order = append(f.order, flag)
	}
	f.byFlag[flag] = fmt.Sprintf("--%s %q: want %s", flag, text, want)
}

func (f *ParseErrors) has(flag string) bool {
	_, ok := f.byFlag[flag]
	return ok
}

func (f *ParseErrors) list() []string {
	messages := make([]string, 0, len(f.order))
	for _, flag := range f.order {
		messages = append(messages, f.byFlag[flag])
	}
	return messages
}
