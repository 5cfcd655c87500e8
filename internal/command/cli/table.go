package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// table collects rows and prints them in aligned columns; the first row is the heading.
type table struct {
	rows [][]string
}

func newTable(head ...string) *table {
	return &table{rows: [][]string{head}}
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

func (t *table) write(w io.Writer) error {
	const gap = 2 // blanks between columns
	o := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	for _, r := range t.rows {
		fmt.Fprintln(o, strings.Join(r, "\t"))
	}
	return errors.Wrap(o.Flush(), "printing a table")
}
