package inventory

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff returns the differences from inventory a to inventory b, one readable line
// each: "+" for what is new, "-" for what is gone, "~" for a changed field.
func Diff(a, b *Inventory) []string {
	var d differ
	d.structs("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.lines
}

// itemName returns what identifies an item of a list.
func itemName(v reflect.Value) string {
	switch t := v.Interface().(type) {
	case Route:
		return t.Method + " " + t.Path
	case Rule:
		return t.Name
	case EndpointState:
		return string(t.Endpoint)
	case Bound:
		return fmt.Sprintf("%s/%s/%s", t.FailureDomain, t.Serves, t.Supply)
	default:
		return v.FieldByName("ID").String()
	}
}

type differ struct{ lines []string }

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// structs compares two structs of one type field by field.
func (d *differ) structs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name, fa, fb := fieldName(a.Type().Field(i)), a.Field(i), b.Field(i)
		switch {
		case isList(fa.Type()):
			d.lists(join(path, name), fa, fb)
		case isStruct(fa.Type()):
			d.structs(join(path, name), fa, fb)
		case !reflect.DeepEqual(fa.Interface(), fb.Interface()):
			d.add("~ %s: %s %s -> %s", path, name, text(fa), text(fb))
		}
	}
}

func join(path, name string) string { return strings.TrimSpace(path + " " + name) }

// isList reports whether the type is a list of structs.
func isList(t reflect.Type) bool { return t.Kind() == reflect.Slice && isStruct(t.Elem()) }

func isStruct(t reflect.Type) bool { return t.Kind() == reflect.Struct }

// lists compares two lists of identified items.
func (d *differ) lists(path string, a, b reflect.Value) {
	from, to := byName(a), byName(b)
	for i := range a.Len() {
		if name := itemName(a.Index(i)); !to[name].IsValid() {
			d.add("- %s %s", path, name)
		}
	}
	for i := range b.Len() {
		item := b.Index(i)
		name := itemName(item)
		if old := from[name]; old.IsValid() {
			d.structs(path+" "+name, old, item)
			continue
		}
		d.added(path+" "+name, item)
	}
	if a.Type() == reflect.TypeFor[[]Rule]() {
		d.order(path, a, b)
	}
}

func byName(list reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		m[itemName(list.Index(i))] = list.Index(i)
	}
	return m
}

// added writes one line for a new item and one for each item within it.
func (d *differ) added(path string, v reflect.Value) {
	var fields []string
	for i := range v.NumField() {
		f := v.Field(i)
		if !f.IsZero() && !isList(f.Type()) {
			fields = append(fields, fieldName(v.Type().Field(i))+" "+text(f))
		}
	}
	d.add("+ %s: %s", path, strings.Join(fields, ", "))
	for i := range v.NumField() {
		f := v.Field(i)
		for j := 0; isList(f.Type()) && j < f.Len(); j++ {
			d.added(path+" "+fieldName(v.Type().Field(i))+" "+itemName(f.Index(j)), f.Index(j))
		}
	}
}

// order tells when the items that both lists have are in another order. The first
// rule that matches decides, so the order of rules counts.
func (d *differ) order(path string, a, b reflect.Value) {
	from, to := byName(a), byName(b)
	common := func(list reflect.Value) (names []string) {
		for i := range list.Len() {
			name := itemName(list.Index(i))
			if from[name].IsValid() && to[name].IsValid() {
				names = append(names, name)
			}
		}
		return names
	}
	if after := common(b); !slices.Equal(common(a), after) {
		d.add("~ %s: order is now %s", path, strings.Join(after, ", "))
	}
}

// text returns the text form of a field.
func text(v reflect.Value) string {
	if v.IsZero() && (v.Kind() == reflect.String || v.Kind() == reflect.Slice) {
		return "none"
	}
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		b, _ := m.MarshalText()
		return string(b)
	}
	return fmt.Sprint(v.Interface())
}
