package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// keyPositions are the keys of a JSON text by their paths, "figures[2].unit" say, in order.
type keyPositions []struct {
	path string
	line int
}

// locateKeys finds the keys, and refuses what is no JSON, has a key twice, or goes on behind its end. Its errors begin with
// the line.
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
					return fmt.Errorf(":%d: %s: stands twice", line, inner)
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
		return nil, fmt.Errorf(":%d: ends too early: %w", lineAt(data, int64(len(data))), err)
	case d.More():
		return nil, fmt.Errorf(":%d: something stands behind the end", lineAt(data, d.InputOffset()))
	}
	return keys, nil
}

// lineAt is the line of an offset, from 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}

// line is where a key stands, or the last of those above it that is there.
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

// checkKeys refuses keys that a type's JSON form hasn't, and the lack of those that it has.
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
				return fmt.Errorf(":%d: %s: is missing", l.line(o), path)
			}
		}
	}
	return nil
}

// dropIndexes leaves the places out of a path: "figures[2].unit" is "figures[].unit".
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

// collectKeys notes the keys of a type and of those within it, by their object's path.
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
