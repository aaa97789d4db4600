package settings

import (
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// The types that have a text form of their own.
var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[Bytes]()
)

// decoder fills a Settings from a JSON syntax tree and gathers faults.
type decoder struct {
	file   string
	data   []byte
	errors []Error
	// offsets holds the byte offset of each value read, by its path.
	offsets map[string]int
}

// decode reads the whole file.
func (d *decoder) decode(value hujson.Value, settings *Settings) {
	d.object(value, reflect.ValueOf(settings).Elem(), "")
}

// object reads one JSON object into a struct.
func (d *decoder) object(value hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.fail(value.StartOffset, "%swant an object", label(path))
		return
	}
	prefix := ""
	if path != "" {
		prefix = path + "."
	}
	seen := make(map[string]bool)
	for _, member := range object.Members {
		key := member.Name.Value.(hujson.Literal).String()
		field, known := fieldByKey(target.Type(), key)
		switch {
		case !known:
			d.fail(member.Name.StartOffset, "unknown key %q", prefix+key)
		case seen[key]:
			d.fail(member.Name.StartOffset, "key %q is there twice", prefix+key)
		default:
			d.value(member.Value, target.FieldByIndex(field.Index), field.Tag, prefix+key)
		}
		seen[key] = true
	}
	for field := range target.Type().Fields() {
		key := field.Tag.Get("json")
		if field.Tag.Get("required") != "" && !seen[key] {
			d.fail(value.StartOffset, "%s is missing", prefix+key)
		}
	}
}

func fieldByKey(of reflect.Type, key string) (reflect.StructField, bool) {
	for field := range of.Fields() {
		if field.Tag.Get("json") == key {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// value reads one JSON value into a field.
func (d *decoder) value(value hujson.Value, target reflect.Value, tag reflect.StructTag, path string) {
	d.offsets[path] = value.StartOffset
	switch {
	case target.Type() == durationType:
		d.scalar(value, target, tag, path, parseDuration)
	case target.Type() == bytesType:
		d.scalar(value, target, tag, path, parseBytes)
	case target.Kind() == reflect.Int:
		d.scalar(value, target, tag, path, parseInt)
	case target.Kind() == reflect.String:
		d.text(value, target, tag, path)
	case target.Kind() == reflect.Slice:
		d.array(value, target, path)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.object(value, target.Elem(), path)
	}
}

// scalar reads a number, with or without unit, and checks its range.
func (d *decoder) scalar(value hujson.Value, target reflect.Value, tag reflect.StructTag, path string, parse func(hujson.Value) (int64, error)) {
	n, err := parse(value)
	if err != nil {
		d.fail(value.StartOffset, "%s%v", label(path), err)
		return
	}
	minimum, _ := parse(tagValue(target.Type(), tag.Get("min")))
	maximum, _ := parse(tagValue(target.Type(), tag.Get("max")))
	if n < minimum || n > maximum {
		d.fail(value.StartOffset, "%s%s is not within %s to %s", label(path), value.Value, tag.Get("min"), tag.Get("max"))
		return
	}
	target.SetInt(n)
}

// tagValue turns a bound in a struct tag into the JSON value it stands for.
func tagValue(of reflect.Type, bound string) hujson.Value {
	if of == durationType || of == bytesType {
		return hujson.Value{Value: hujson.String(bound)}
	}
	return hujson.Value{Value: hujson.Literal(bound)}
}

// text reads a text that is not empty and checks its format.
func (d *decoder) text(value hujson.Value, target reflect.Value, tag reflect.StructTag, path string) {
	text, ok := textOf(value)
	if !ok || text == "" {
		d.fail(value.StartOffset, "%swant a text that is not empty", label(path))
		return
	}
	var err error
	switch tag.Get("format") {
	case "addr":
		err = checkAddr(text)
	case "level":
		err = checkLevel(text)
	}
	if err != nil {
		d.fail(value.StartOffset, "%s%v", label(path), err)
		return
	}
	target.SetString(text)
}

// array reads a list of objects.
func (d *decoder) array(value hujson.Value, target reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.fail(value.StartOffset, "%swant a list", label(path))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		at := path + "[" + strconv.Itoa(i) + "]"
		d.offsets[at] = element.StartOffset
		d.object(element, target.Index(i), at)
	}
}

func textOf(value hujson.Value) (string, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return literal.String(), true
}

func parseDuration(value hujson.Value) (int64, error) {
	const want = `want a text with a unit such as "500ms", "2s" or "5m"`
	text, ok := textOf(value)
	if !ok {
		return 0, errors.New(want)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%s, found %q", want, text)
	}
	return int64(duration), nil
}

func parseInt(value hujson.Value) (int64, error) {
	const want = "want a whole number without unit"
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return 0, errors.New(want)
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		return 0, errors.Errorf("%s, found %s", want, literal)
	}
	return n, nil
}

// byteUnits are the units of Bytes, the longest first.
var byteUnits = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

func parseBytes(value hujson.Value) (int64, error) {
	const want = `want a text with the unit B, KiB, MiB or GiB such as "64MiB"`
	text, ok := textOf(value)
	if !ok {
		return 0, errors.New(want)
	}
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n > (1<<62)/unit.size {
			break
		}
		return n * unit.size, nil
	}
	return 0, errors.Errorf("%s, found %q", want, text)
}

func checkAddr(text string) error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Errorf("want IP:port, found %q; host names are not resolved", text)
	}
	if addr.Port() == 0 {
		return errors.Errorf("%q has port 0", text)
	}
	if addr.Addr().IsUnspecified() {
		return errors.Errorf("%q names no address that others can reach", text)
	}
	return nil
}

func checkLevel(text string) error {
	switch text {
	case "debug", "info", "warn", "error":
		return nil
	}
	return errors.Errorf("want debug, info, warn or error, found %q", text)
}

func label(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}
