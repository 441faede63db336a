package capacity

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

var errUnclosedTable = errors.New("has no closing <!-- end -->")

const (
	beginMark = "<!-- table "
	endMark   = "<!-- end -->"
)

// Check returns an error if a table in the page differs from the computed one, or if the page doesn't have each table once.
func (m *Model) Check(path string, page []byte) error {
	want, err := m.Fill(path, page)
	if err != nil {
		return err
	}
	gotLines, wantLines := strings.Split(string(page), "\n"), strings.Split(string(want), "\n")
	for i := range gotLines {
		if i >= len(wantLines) || gotLines[i] != wantLines[i] {
			right := "nothing"
			if i < len(wantLines) {
				right = wantLines[i]
			}
			return fmt.Errorf("%s:%d: the page has\n%s\nwant\n%s", path, i+1, gotLines[i], right)
		}
	}
	if len(wantLines) > len(gotLines) {
		return fmt.Errorf("%s:%d: unexpected end of the page", path, len(gotLines))
	}
	return nil
}

// Fill replaces the tables in a page and keeps its other text. A marker that is unknown, missing, duplicate or not closed is an
// error that names file and line.
func (m *Model) Fill(path string, page []byte) ([]byte, error) {
	pending := map[string]string{}
	for _, t := range m.Tables() {
		pending[t.Name] = t.Text
	}
	var out strings.Builder
	openTable, n, openLine := "", 0, 0
	for line := range strings.Lines(string(page)) {
		n++
		text := strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(text, beginMark); ok {
			name := strings.TrimSuffix(rest, " -->")
			table, known := pending[name]
			switch {
			case openTable != "":
				return nil, fmt.Errorf("%s:%d: table %s %w", path, openLine, openTable, errUnclosedTable)
			case !known:
				return nil, fmt.Errorf("%s:%d: table %s is unknown or a duplicate", path, n, name)
			}
			delete(pending, name)
			openTable, openLine = name, n
			out.WriteString(line + "\n" + table + "\n")
			continue
		}
		if text == endMark {
			if openTable == "" {
				return nil, fmt.Errorf("%s:%d: %s without a table", path, n, endMark)
			}
			openTable = ""
		}
		if openTable == "" {
			out.WriteString(line)
		}
	}
	if openTable != "" {
		return nil, fmt.Errorf("%s:%d: table %s %w", path, openLine, openTable, errUnclosedTable)
	}
	if len(pending) > 0 {
		return nil, fmt.Errorf("%s:%d: missing tables: %s", path, n, strings.Join(slices.Sorted(maps.Keys(pending)), ", "))
	}
	return []byte(out.String()), nil
}
