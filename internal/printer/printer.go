package printer

import (
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// table is a list of objects as rows. Its columns are the fields in the order of their first appearance, so that
// answers of another program version, with more or fewer fields, can be printed too.
type table struct {
	name    string
	columns []string
	rows    []map[string]string
}

// Print writes a JSON answer to w as text. An object becomes a "field: value" line for each field, followed by a table
// for each field that is a list of objects. A list at the top level becomes one table, and any other value one line. An
// answer that is not JSON is an error.
func Print(w io.Writer, answer []byte) error {
	v, err := hujson.Parse(answer)
	if err != nil {
		return eris.Wrap(err, "parse answer")
	}
	var fields strings.Builder
	var tables []table
	switch t := v.Value.(type) {
	case *hujson.Array:
		tables = append(tables, newTable("", t))
	case *hujson.Object:
		for _, m := range t.Members {
			name := format(m.Name)
			if list, ok := m.Value.Value.(*hujson.Array); ok && containsObject(list) {
				tables = append(tables, newTable(name, list))
				continue
			}
			fields.WriteString(name + ":\t" + format(m.Value) + "\n")
		}
	default:
		fields.WriteString(format(v) + "\n")
	}
	if err := writeColumns(w, fields.String()); err != nil {
		return eris.Wrap(err, "write fields of answer")
	}
	for _, t := range tables {
		if err := t.print(w); err != nil {
			return eris.Wrap(err, "write table of answer")
		}
	}
	return nil
}

// writeColumns writes lines of tab-separated cells to w as aligned columns.
func writeColumns(w io.Writer, lines string) error {
	var b strings.Builder
	tw := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	if _, err := io.WriteString(tw, lines); err != nil {
		return err
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for line := range strings.Lines(b.String()) {
		// Empty cells at the end of a row leave trailing spaces.
		if _, err := io.WriteString(w, strings.TrimRight(line, " \n")+"\n"); err != nil {
			return err
		}
	}
	return nil
}

// containsObject reports whether at least one element of the list is an object.
func containsObject(list *hujson.Array) bool {
	return slices.ContainsFunc(list.Elements, func(v hujson.Value) bool {
		_, ok := v.Value.(*hujson.Object)
		return ok
	})
}

// newTable returns the elements of a list as a table. Elements that are not objects become empty rows.
func newTable(name string, list *hujson.Array) table {
	t := table{name: name}
	for _, e := range list.Elements {
		row := map[string]string{}
		if o, ok := e.Value.(*hujson.Object); ok {
			for _, m := range o.Members {
				c := format(m.Name)
				if !slices.Contains(t.columns, c) {
					t.columns = append(t.columns, c)
				}
				row[c] = format(m.Value)
			}
		}
		t.rows = append(t.rows, row)
	}
	return t
}

func (t *table) print(w io.Writer) error {
	if t.name != "" {
		if _, err := io.WriteString(w, "\n"+t.name+":\n"); err != nil {
			return err
		}
	}
	if len(t.rows) == 0 {
		return writeColumns(w, "no entries\n")
	}
	var b strings.Builder
	b.WriteString(strings.Join(t.columns, "\t") + "\n")
	for _, r := range t.rows {
		cells := make([]string, len(t.columns))
		for i, c := range t.columns {
			cells[i] = r[c]
		}
		b.WriteString(strings.Join(cells, "\t") + "\n")
	}
	return writeColumns(w, b.String())
}

// format returns a string without quotes, null as "-", a list without objects separated by commas, and any other value
// as JSON. Control characters are replaced, because answers contain texts of other users, which must not send control
// sequences to the operator's terminal.
func format(v hujson.Value) string {
	switch t := v.Value.(type) {
	case hujson.Literal:
		if t.Kind() == 'n' {
			return "-"
		}
		return replaceControls(t.String())
	case *hujson.Array:
		if !containsObject(t) {
			parts := make([]string, len(t.Elements))
			for i, e := range t.Elements {
				parts[i] = format(e)
			}
			return strings.Join(parts, ", ")
		}
	}
	c := v.Clone()
	c.Minimize()
	return replaceControls(string(c.Pack()))
}

// replaceControls replaces each control character, C0, DEL or C1, with a question mark.
func replaceControls(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || (r >= 0x7f && r < 0xa0) {
			return '?'
		}
		return r
	}, s)
}
