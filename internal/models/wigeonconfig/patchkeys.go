package wigeonconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"wigeonshift"
)

// maxDepth is the maximum nesting depth of a patch. The configuration document is nested less deeply.
const maxDepth = 32

var errTooDeep = fmt.Errorf("nested more than %d levels deep", maxDepth)

var configurationType = reflect.TypeFor[wigeonshift.Configuration]()

// checkPatchKeys reports every key of a patch that is unknown or appears twice in its object. The JSON decoder does not
// do this because it ignores the case of keys and accepts duplicates.
func checkPatchKeys(patch []byte) error {
	d := json.NewDecoder(bytes.NewReader(patch))
	w := keyChecker{decoder: d}
	if err := w.checkValue("", configurationType); err != nil {
		return invalidError("", "not valid JSON: %s", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalidError("", "more than one JSON value")
	}
	if len(w.faults) > 0 {
		return &InvalidError{Faults: w.faults}
	}
	return nil
}

// keyChecker walks a JSON text together with the Go type that it is decoded into.
type keyChecker struct {
	decoder *json.Decoder
	depth   int
	faults  []Fault
}

// checkValue checks one JSON value against its type. t is nil below an unknown key.
func (w *keyChecker) checkValue(path string, t reflect.Type) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.depth++
	defer func() { w.depth-- }()
	if w.depth > maxDepth {
		return errTooDeep
	}
	switch token {
	case json.Delim('{'):
		return w.checkObject(path, t)
	case json.Delim('['):
		return w.checkArray(path, t)
	}
	return nil
}

func (w *keyChecker) checkObject(path string, t reflect.Type) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		at := joinPath(path, key)
		if seen[key] {
			w.faults = append(w.faults, Fault{Path: at, Reason: "key appears twice"})
		}
		seen[key] = true
		next, known := fieldType(t, key)
		if !known {
			w.faults = append(w.faults, Fault{Path: at, Reason: "unknown key"})
		}
		if path == "" && key == "version" {
			w.faults = append(w.faults, Fault{Path: at, Reason: "the version can't be patched"})
		}
		if err := w.checkValue(at, next); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *keyChecker) checkArray(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.checkValue(joinPath(path, strconv.Itoa(i)), element); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// fieldType returns the type of a field of a JSON object and reports whether the field is known. It reports every field
// as known if t is not an object type, because the decoder reports the wrong type.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	switch {
	case t == nil:
		return nil, true
	case t.Kind() == reflect.Map:
		return t.Elem(), true
	case t.Kind() != reflect.Struct:
		return nil, true
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == key {
			return f.Type, true
		}
	}
	return nil, false
}
