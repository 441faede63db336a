package capacity

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

var errNoEnd = errors.New("has no <!-- end -->")

const (
	beginMark = "<!-- table "
	endMark   = "<!-- end -->"
)

// Check tells where a page says something else than the tables do, or has not each of them once; nil if it agrees.
func (m *Model) Check(path string, page []byte) error {
	want, err := m.Fill(path, page)
	if err != nil {
		return err
	}
	has, should := strings.Split(string(page), "\n"), strings.Split(string(want), "\n")
	for i := range has {
		if i >= len(should) || has[i] != should[i] {
			right := "nothing"
			if i < len(should) {
				right = should[i]
			}
			return fmt.Errorf("%s:%d: the page says\n%s\nand the figures give\n%s", path, i+1, has[i], right)
		}
	}
	if len(should) > len(has) {
		return fmt.Errorf("%s:%d: the page ends too early", path, len(has))
	}
	return nil
}

// Fill puts the tables in their places in a page and leaves its words alone. A marker that is unknown, missing, twice there
// or has no end is an error that names file and line.
func (m *Model) Fill(path string, page []byte) ([]byte, error) {
	left := map[string]string{}
	for _, t := range m.Tables() {
		left[t.Name] = t.Text
	}
	var out strings.Builder
	within, n, begun := "", 0, 0
	for line := range strings.Lines(string(page)) {
		n++
		text := strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(text, beginMark); ok {
			name := strings.TrimSuffix(rest, " -->")
			table, known := left[name]
			switch {
			case within != "":
				return nil, fmt.Errorf("%s:%d: table %s %w", path, begun, within, errNoEnd)
			case !known:
				return nil, fmt.Errorf("%s:%d: table %s is unknown, or stands twice", path, n, name)
			}
			delete(left, name)
			within, begun = name, n
			out.WriteString(line + "\n" + table + "\n")
			continue
		}
		if text == endMark {
			if within == "" {
				return nil, fmt.Errorf("%s:%d: %s ends no table", path, n, endMark)
			}
			within = ""
		}
		if within == "" {
			out.WriteString(line)
		}
	}
	if within != "" {
		return nil, fmt.Errorf("%s:%d: table %s %w", path, begun, within, errNoEnd)
	}
	if len(left) > 0 {
		return nil, fmt.Errorf("%s:%d: has no table %s", path, n, strings.Join(slices.Sorted(maps.Keys(left)), ", "))
	}
	return []byte(out.String()), nil
}
