package settings

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "FILBERTMUX"

// ParseErrors collects the values that can't be parsed, so that Validate can
// report all of them together with the values that are out of range. kong itself
// stops at the first one. ParseErrors is not safe for concurrent use.
type ParseErrors struct {
	order  []string
	byFlag map[string]string
}

// KongOptions returns the kong options that are needed to parse the settings
// structs.
func (e *ParseErrors) KongOptions() []kong.Option {
	return []kong.Option{
		kong.DefaultEnvars(EnvPrefix),
		kong.KindMapper(reflect.Int, kong.MapperFunc(e.decodeInt)),
		kong.KindMapper(reflect.Float64, kong.MapperFunc(e.decodeFloat)),
		kong.TypeMapper(reflect.TypeFor[time.Duration](), kong.MapperFunc(e.decodeDuration)),
	}
}

func (e *ParseErrors) decodeInt(ctx *kong.DecodeContext, target reflect.Value) error {
	text, err := popValue(ctx)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(text)
	target.SetInt(int64(n))
	e.record(ctx.Value.Name, text, "a whole number", err)
	return nil
}

func (e *ParseErrors) decodeFloat(ctx *kong.DecodeContext, target reflect.Value) error {
	text, err := popValue(ctx)
	if err != nil {
		return err
	}
	n, err := strconv.ParseFloat(text, 64)
	if math.IsNaN(n) || math.IsInf(n, 0) {
		err = strconv.ErrRange
	}
	target.SetFloat(n)
	e.record(ctx.Value.Name, text, "a number such as 0.05", err)
	return nil
}

func (e *ParseErrors) decodeDuration(ctx *kong.DecodeContext, target reflect.Value) error {
	text, err := popValue(ctx)
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	target.SetInt(int64(d))
	e.record(ctx.Value.Name, text, "a duration such as 1.5s", err)
	return nil
}

func popValue(ctx *kong.DecodeContext) (string, error) {
	token, err := ctx.Scan.PopValue(ctx.Value.Name)
	if err != nil {
		return "", err
	}
	return fmt.Sprint(token.Value), nil
}

// record records the parse error of a flag, if any. An invalid value in the
// environment is an error even if a flag overrides it, because the order in which
// kong decodes the two does not tell which one applies.
func (e *ParseErrors) record(flag, text, want string, err error) {
	if err == nil {
		return
	}
	if e.byFlag == nil {
		e.byFlag = make(map[string]string)
	}
	if !e.has(flag) {
		e.order = append(e.order, flag)
	}
	e.byFlag[flag] = fmt.Sprintf("--%s %q: want %s", flag, text, want)
}

func (e *ParseErrors) has(flag string) bool {
	_, ok := e.byFlag[flag]
	return ok
}

func (e *ParseErrors) messages() []string {
	messages := make([]string, 0, len(e.order))
	for _, flag := range e.order {
		messages = append(messages, e.byFlag[flag])
	}
	return messages
}
