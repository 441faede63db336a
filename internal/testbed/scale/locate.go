package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// keyPositions lists the keys of a JSON text with their lines, in order. A path is, for example, "figures[2].unit".
type keyPositions []struct {
	path string
	line int
}

// locateKeys finds the keys of a JSON text. It rejects invalid JSON, duplicate keys and trailing data, with errors that begin
// with the line.
func locateKeys(data []byte) (keyPositions, error) {
	var keys keyPositions
	seen := map[string]bool{}
	d := json.NewDecoder(bytes.NewReader(data))
	var value func(path string) error
	value = func(path string) error {
		t, err := d.Token()
		if err != nil {
			return err
		}
		delim, ok := t.(json.Delim)
		if !ok {
			return nil
		}
		for i := 0; d.More(); i++ {
			inner := fmt.Sprintf("%s[%d]", path, i)
			if delim == '{' {
				k, err := d.Token()
				if err != nil {
					return err
				}
				inner = strings.TrimPrefix(fmt.Sprintf("%s.%s", path, k), ".")
				line := lineAt(data, d.InputOffset())
				if seen[inner] {
					return fmt.Errorf(":%d: %s: duplicate key", line, inner)
				}
				seen[inner] = true
				keys = append(keys, struct {
					path string
					line int
				}{inner, line})
			}
			if err := value(inner); err != nil {
				return err
			}
		}
		_, err = d.Token()
		return err
	}
	err := value("")
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return nil, fmt.Errorf(":%d: %w", lineAt(data, syntax.Offset), err)
	case err != nil && strings.HasPrefix(err.Error(), ":"):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf(":%d: unexpected end: %w", lineAt(data, int64(len(data))), err)
	case d.More():
		return nil, fmt.Errorf(":%d: unexpected data after the end", lineAt(data, d.InputOffset()))
	}
	return keys, nil
}

// lineAt returns the line of an offset, counted from 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}

// line returns the line of a key, or of its closest enclosing key that exists.
func (l keyPositions) line(path string) int {
	for ; path != ""; path = path[:max(0, strings.LastIndexAny(path, ".["))] {
		for _, k := range l {
			if k.path == path {
				return k.line
			}
		}
	}
	return 1
}

// checkKeys rejects unknown and missing keys, by the JSON tags of a type.
func (l keyPositions) checkKeys(of any) error {
	known := map[string][]string{}
	collectKeys(reflect.TypeOf(of), "", known)
	has := map[string]bool{}
	objects := []string{""}
	for _, k := range l {
		has[k.path] = true
		if parent := k.path[:max(0, strings.LastIndexByte(k.path, '.'))]; !has[parent+"."] {
			has[parent+"."] = true
			if parent != "" {
				objects = append(objects, parent)
			}
		}
	}
	names := map[string]bool{}
	for parent, keys := range known {
		for _, key := range keys {
			names[strings.TrimPrefix(parent+"."+key, ".")] = true
		}
	}
	for _, k := range l {
		if !names[dropIndexes(k.path)] {
			return fmt.Errorf(":%d: unknown key %s", k.line, k.path)
		}
	}
	for _, o := range objects {
		for _, key := range known[dropIndexes(o)] {
			if path := strings.TrimPrefix(o+"."+key, "."); !has[path] {
				return fmt.Errorf(":%d: %s: missing", l.line(o), path)
			}
		}
	}
	return nil
}

// dropIndexes removes the indexes from a path: "figures[2].unit" becomes "figures[].unit".
func dropIndexes(path string) string {
	for from := 0; ; {
		i := strings.IndexByte(path[from:], '[')
		if i < 0 {
			return path
		}
		j := strings.IndexByte(path[from+i:], ']')
		path = path[:from+i+1] + path[from+i+j:]
		from += i + 2
	}
}

// collectKeys collects the JSON keys of a type and of the types within it, by the path of their object.
func collectKeys(t reflect.Type, path string, into map[string][]string) {
	switch t.Kind() {
	case reflect.Slice:
		collectKeys(t.Elem(), path+"[]", into)
	case reflect.Struct:
		for i := range t.NumField() {
			key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			into[path] = append(into[path], key)
			collectKeys(t.Field(i).Type, strings.TrimPrefix(path+"."+key, "."), into)
		}
	}
}
