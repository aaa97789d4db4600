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

// The types that are written as strings with a unit.
var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[Bytes]()
)

// decoder fills a Settings from a JSON syntax tree and collects all errors.
type decoder struct {
	file   string
	data   []byte
	errors []Error
	// offsets holds the byte offset of each decoded value by its path.
	offsets map[string]int
}

// decode decodes the top-level object into settings.
func (d *decoder) decode(value hujson.Value, settings *Settings) {
	d.decodeObject(value, reflect.ValueOf(settings).Elem(), "")
}

// decodeObject decodes a JSON object into a struct. It reports unknown, duplicate and
// missing keys.
func (d *decoder) decodeObject(value hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addError(value.StartOffset, "%swant an object", pathPrefix(path))
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
			d.addError(member.Name.StartOffset, "unknown key %q", prefix+key)
		case seen[key]:
			d.addError(member.Name.StartOffset, "duplicate key %q", prefix+key)
		default:
			d.decodeValue(member.Value, target.FieldByIndex(field.Index), field.Tag, prefix+key)
		}
		seen[key] = true
	}
	for field := range target.Type().Fields() {
		key := field.Tag.Get("json")
		if field.Tag.Get("required") != "" && !seen[key] {
			d.addError(value.StartOffset, "%s is missing", prefix+key)
		}
	}
}

// fieldByKey returns the struct field whose json tag is the key.
func fieldByKey(of reflect.Type, key string) (reflect.StructField, bool) {
	for field := range of.Fields() {
		if field.Tag.Get("json") == key {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// decodeValue decodes a JSON value into a field according to the type of the field.
func (d *decoder) decodeValue(value hujson.Value, target reflect.Value, tag reflect.StructTag, path string) {
	d.offsets[path] = value.StartOffset
	switch {
	case target.Type() == durationType:
		d.decodeNumber(value, target, tag, path, parseDuration)
	case target.Type() == bytesType:
		d.decodeNumber(value, target, tag, path, parseBytes)
	case target.Kind() == reflect.Int:
		d.decodeNumber(value, target, tag, path, parseInt)
	case target.Kind() == reflect.String:
		d.decodeString(value, target, tag, path)
	case target.Kind() == reflect.Slice:
		d.decodeArray(value, target, path)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeObject(value, target.Elem(), path)
	}
}

// decodeNumber decodes a number with or without a unit and checks that it is within the
// range of the tags min and max.
func (d *decoder) decodeNumber(value hujson.Value, target reflect.Value, tag reflect.StructTag, path string, parse func(hujson.Value) (int64, error)) {
	n, err := parse(value)
	if err != nil {
		d.addError(value.StartOffset, "%s%v", pathPrefix(path), err)
		return
	}
	minimum, _ := parse(boundValue(target.Type(), tag.Get("min")))
	maximum, _ := parse(boundValue(target.Type(), tag.Get("max")))
	if n < minimum || n > maximum {
		d.addError(value.StartOffset, "%s%s is out of range: want %s to %s", pathPrefix(path), value.Value, tag.Get("min"), tag.Get("max"))
		return
	}
	target.SetInt(n)
}

// boundValue returns a bound from a struct tag as the equivalent JSON value.
func boundValue(of reflect.Type, bound string) hujson.Value {
	if of == durationType || of == bytesType {
		return hujson.Value{Value: hujson.String(bound)}
	}
	return hujson.Value{Value: hujson.Literal(bound)}
}

// decodeString decodes a string, which must not be empty, and checks its format.
func (d *decoder) decodeString(value hujson.Value, target reflect.Value, tag reflect.StructTag, path string) {
	text, ok := stringValue(value)
	if !ok || text == "" {
		d.addError(value.StartOffset, "%swant a non-empty string", pathPrefix(path))
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
		d.addError(value.StartOffset, "%s%v", pathPrefix(path), err)
		return
	}
	target.SetString(text)
}

// decodeArray decodes an array of objects.
func (d *decoder) decodeArray(value hujson.Value, target reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.addError(value.StartOffset, "%swant an array", pathPrefix(path))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		at := path + "[" + strconv.Itoa(i) + "]"
		d.offsets[at] = element.StartOffset
		d.decodeObject(element, target.Index(i), at)
	}
}

// stringValue returns the value of a JSON string, or false if the value is not one.
func stringValue(value hujson.Value) (string, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return literal.String(), true
}

func parseDuration(value hujson.Value) (int64, error) {
	const want = `want a string with a unit such as "500ms", "2s" or "5m"`
	text, ok := stringValue(value)
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
	const want = "want an integer without a unit"
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

// byteUnits are the units of Bytes. B comes last, since it is a suffix of the others.
var byteUnits = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

func parseBytes(value hujson.Value) (int64, error) {
	const want = `want a string with the unit B, KiB, MiB or GiB such as "64MiB"`
	text, ok := stringValue(value)
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
		return errors.Errorf("%q is an unspecified address, which others cannot reach", text)
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

// pathPrefix returns the prefix of an error message about the value at a path.
func pathPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}
