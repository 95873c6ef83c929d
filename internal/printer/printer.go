package printer

import (
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// columnGap is the number of blanks between two columns.
const columnGap = 2

// table is a list of objects. Its columns are the fields in the order in which they first appear, so that fields that
// another version adds or leaves out need no change here.
type table struct {
	name    string
	columns []string
	rows    []map[string]string
}

// Print writes an object as one "field: value" line for each plain field, followed by a table for each list of objects.
// A list of objects at the top is one table.
func Print(w io.Writer, answer []byte) error {
	v, err := hujson.Parse(answer)
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	var plain strings.Builder
	var tables []table
	switch t := v.Value.(type) {
	case *hujson.Array:
		tables = append(tables, newTable("", t))
	case *hujson.Object:
		for _, m := range t.Members {
			name := text(m.Name)
			if list, ok := m.Value.Value.(*hujson.Array); ok && holdsObjects(list) {
				tables = append(tables, newTable(name, list))
				continue
			}
			plain.WriteString(name + ":\t" + text(m.Value) + "\n")
		}
	default:
		plain.WriteString(text(v) + "\n")
	}
	if err := align(w, plain.String()); err != nil {
		return eris.Wrap(err, "print")
	}
	for _, t := range tables {
		if err := t.print(w); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	return nil
}

// align writes lines whose cells end with tabs as columns.
func align(w io.Writer, lines string) error {
	var b strings.Builder
	tw := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	if _, err := io.WriteString(tw, lines); err != nil {
		return err
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for line := range strings.Lines(b.String()) {
		// Empty cells at the end of a row leave blanks.
		if _, err := io.WriteString(w, strings.TrimRight(line, " \n")+"\n"); err != nil {
			return err
		}
	}
	return nil
}

func holdsObjects(list *hujson.Array) bool {
	return slices.ContainsFunc(list.Elements, func(v hujson.Value) bool {
		_, ok := v.Value.(*hujson.Object)
		return ok
	})
}

func newTable(name string, list *hujson.Array) table {
	t := table{name: name}
	for _, e := range list.Elements {
		row := map[string]string{}
		if o, ok := e.Value.(*hujson.Object); ok {
			for _, m := range o.Members {
				c := text(m.Name)
				if !slices.Contains(t.columns, c) {
					t.columns = append(t.columns, c)
				}
				row[c] = text(m.Value)
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
		return align(w, "no entries\n")
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
	return align(w, b.String())
}

// text writes a string without quotes, a list of plain values with commas, and anything else as JSON. Control
// characters are escaped, because answers carry text of other people.
func text(v hujson.Value) string {
	switch t := v.Value.(type) {
	case hujson.Literal:
		if t.Kind() == 'n' {
			return "-"
		}
		return escape(t.String())
	case *hujson.Array:
		if !holdsObjects(t) {
			parts := make([]string, len(t.Elements))
			for i, e := range t.Elements {
				parts[i] = text(e)
			}
			return strings.Join(parts, ", ")
		}
	}
	c := v.Clone()
	c.Minimize()
	return escape(string(c.Pack()))
}

func escape(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || (r >= 0x7f && r < 0xa0) {
			return '?'
		}
		return r
	}, s)
}
