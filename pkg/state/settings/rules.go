package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// ruleField links a field of Rules to the field of Effective with the same
// name.
type ruleField struct {
	key            string // key in the YAML text
	rulesIndex     int    // field index in Rules
	effectiveIndex int    // field index in Effective
}

var ruleFields = buildRuleFields()

func buildRuleFields() []ruleField {
	rules := reflect.TypeFor[Rules]()
	effective := reflect.TypeFor[Effective]()
	fields := make([]ruleField, 0, rules.NumField())
	for i := range rules.NumField() {
		f := rules.Field(i)
		e, ok := effective.FieldByName(f.Name)
		if !ok {
			panic("settings: Effective lacks the field " + f.Name)
		}
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		fields = append(fields, ruleField{key: key, rulesIndex: i, effectiveIndex: e.Index[0]})
	}
	return fields
}

// keyDrain is the only rule that a descendant cannot turn off.
const keyDrain = "drain"

// value returns the value of f in r, or false if r does not set it.
func (f ruleField) value(r Rules) (reflect.Value, bool) {
	p := reflect.ValueOf(r).Field(f.rulesIndex)
	if p.IsNil() {
		return reflect.Value{}, false
	}
	return p.Elem(), true
}

// apply writes the value of f in r, if set, into e.
func (f ruleField) apply(r Rules, e *Effective) {
	v, ok := f.value(r)
	if !ok {
		return
	}
	field := reflect.ValueOf(e).Elem().Field(f.effectiveIndex)
	if f.key == keyDrain {
		field.SetBool(field.Bool() || v.Bool())
		return
	}
	field.Set(v.Convert(field.Type()))
}

// format returns the value of f in e in the form that operators see.
func (f ruleField) format(e Effective) string {
	return formatRuleValue(reflect.ValueOf(e).Field(f.effectiveIndex))
}

func formatRuleValue(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case []string:
		return strings.Join(x, ",")
	case time.Duration:
		return x.String()
	default:
		return fmt.Sprint(x)
	}
}

// merge returns r with the fields that over sets replaced by those of over.
func (r Rules) merge(over Rules) Rules {
	dst := reflect.ValueOf(&r).Elem()
	src := reflect.ValueOf(over)
	for i := range dst.NumField() {
		if !src.Field(i).IsNil() {
			dst.Field(i).Set(src.Field(i))
		}
	}
	return r
}

// without returns r with the fields that other sets cleared.
func (r Rules) without(other Rules) Rules {
	dst := reflect.ValueOf(&r).Elem()
	src := reflect.ValueOf(other)
	for i := range dst.NumField() {
		if !src.Field(i).IsNil() {
			dst.Field(i).SetZero()
		}
	}
	return r
}

// isEmpty reports whether r sets no rule.
func (r Rules) isEmpty() bool { return r == Rules{} }

// clone returns a deep copy of r.
func (r Rules) clone() Rules {
	v := reflect.ValueOf(&r).Elem()
	for i := range v.NumField() {
		if v.Field(i).IsNil() {
			continue
		}
		c := reflect.New(v.Field(i).Type().Elem())
		c.Elem().Set(v.Field(i).Elem())
		if list, ok := c.Interface().(*[]string); ok {
			*list = slices.Clone(*list)
		}
		v.Field(i).Set(c)
	}
	return r
}
