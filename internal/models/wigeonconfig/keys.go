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

// maxDepth bounds the nesting of a patch; the document itself has less.
const maxDepth = 32

var errTooDeep = fmt.Errorf("nested more than %d levels deep", maxDepth)

var configurationType = reflect.TypeFor[wigeonshift.Configuration]()

// checkKeys reports every key of a patch that the document doesn't know, and every key written twice. The JSON
// decoder alone would let pass a key in another case.
func checkKeys(patch []byte) error {
	d := json.NewDecoder(bytes.NewReader(patch))
	w := keyWalk{decoder: d}
	if err := w.value("", configurationType); err != nil {
		return invalid("", "not valid JSON: %s", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid("", "more than one JSON value")
	}
	if len(w.faults) > 0 {
		return &InvalidError{Faults: w.faults}
	}
	return nil
}

// keyWalk follows a JSON text along a type.
type keyWalk struct {
	decoder *json.Decoder
	depth   int
	faults  []Fault
}

// value reads one JSON value; t is nil below an unknown key.
func (w *keyWalk) value(path string, t reflect.Type) error {
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
		return w.members(path, t)
	case json.Delim('['):
		return w.elements(path, t)
	}
	return nil
}

func (w *keyWalk) members(path string, t reflect.Type) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		at := join(path, key)
		if seen[key] {
			w.faults = append(w.faults, Fault{Path: at, Reason: "key stands twice"})
		}
		seen[key] = true
		next, known := memberType(t, key)
		if !known {
			w.faults = append(w.faults, Fault{Path: at, Reason: "unknown key"})
		}
		if path == "" && key == "version" {
			w.faults = append(w.faults, Fault{Path: at, Reason: "the version can't be patched"})
		}
		if err := w.value(at, next); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *keyWalk) elements(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(join(path, strconv.Itoa(i)), element); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// memberType returns the type of an object's member. Members of values that are no objects count as known: the
// decoder reports the wrong type.
func memberType(t reflect.Type, key string) (reflect.Type, bool) {
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
