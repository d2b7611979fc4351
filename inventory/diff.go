package inventory

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff returns the differences between inventories a (old) and b (new), one line
// each: "+" for an added item, "-" for a removed item, "~" for a changed field or a
// changed order of the rules.
func Diff(a, b *Inventory) []string {
	var d differ
	d.compareStructs("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.lines
}

// itemName returns the name that identifies an item within its list.
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

// differ collects the lines of a diff.
type differ struct{ lines []string }

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// fieldName returns the YAML name of a field.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// compareStructs compares two structs of one type field by field.
func (d *differ) compareStructs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name, fa, fb := fieldName(a.Type().Field(i)), a.Field(i), b.Field(i)
		switch {
		case isList(fa.Type()):
			d.compareLists(joinPath(path, name), fa, fb)
		case isStruct(fa.Type()):
			d.compareStructs(joinPath(path, name), fa, fb)
		case !reflect.DeepEqual(fa.Interface(), fb.Interface()):
			d.add("~ %s: %s %s -> %s", path, name, formatValue(fa), formatValue(fb))
		}
	}
}

func joinPath(path, name string) string { return strings.TrimSpace(path + " " + name) }

// isList reports whether the type is a list of structs.
func isList(t reflect.Type) bool { return t.Kind() == reflect.Slice && isStruct(t.Elem()) }

func isStruct(t reflect.Type) bool { return t.Kind() == reflect.Struct }

// compareLists compares two lists whose items are matched by itemName.
func (d *differ) compareLists(path string, a, b reflect.Value) {
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
			d.compareStructs(path+" "+name, old, item)
			continue
		}
		d.addItem(path+" "+name, item)
	}
	if a.Type() == reflect.TypeFor[[]Rule]() {
		d.compareOrder(path, a, b)
	}
}

func byName(list reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		m[itemName(list.Index(i))] = list.Index(i)
	}
	return m
}

// addItem adds one line for a new item and one for each item of its lists.
func (d *differ) addItem(path string, v reflect.Value) {
	var fields []string
	for i := range v.NumField() {
		f := v.Field(i)
		if !f.IsZero() && !isList(f.Type()) {
			fields = append(fields, fieldName(v.Type().Field(i))+" "+formatValue(f))
		}
	}
	d.add("+ %s: %s", path, strings.Join(fields, ", "))
	for i := range v.NumField() {
		f := v.Field(i)
		for j := 0; isList(f.Type()) && j < f.Len(); j++ {
			d.addItem(path+" "+fieldName(v.Type().Field(i))+" "+itemName(f.Index(j)), f.Index(j))
		}
	}
}

// compareOrder adds a line when the items that are in both lists are ordered
// differently. The first matching rule applies, so the order of rules matters.
func (d *differ) compareOrder(path string, a, b reflect.Value) {
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

// formatValue returns the text of a field's value, or "none" for an empty string or list.
func formatValue(v reflect.Value) string {
	if v.IsZero() && (v.Kind() == reflect.String || v.Kind() == reflect.Slice) {
		return "none"
	}
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		b, _ := m.MarshalText()
		return string(b)
	}
	return fmt.Sprint(v.Interface())
}
