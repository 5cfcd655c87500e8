package result_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/result"
)

// TestTableInTheDocsEqualsTheCodes compares the rows of docs/RESULT_CODES.md with Meanings.
func TestTableInTheDocsEqualsTheCodes(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "RESULT_CODES.md"))
	require.NoError(t, err)
	table := map[result.Code]result.Meaning{}
	for l := range strings.Lines(string(b)) {
		cells := strings.Split(l, " | ")
		n, err := strconv.Atoi(strings.TrimPrefix(cells[0], "| "))
		if err != nil {
			continue
		}
		require.Len(t, cells, 6, l)
		status, err := strconv.Atoi(cells[2])
		require.NoError(t, err, l)
		require.NotContains(t, table, result.Code(n), "the code is in the table twice")
		table[result.Code(n)] = result.Meaning{Name: cells[1], Status: status, Text: cells[4]}
		require.Regexp(t, `^(not_run|ran|unknown)(, ran)?( or (ran|unknown))?$`, cells[3], l)
		require.NotEmpty(t, strings.TrimSuffix(cells[5], " |\n"), l)
	}
	require.Equal(t, result.Meanings(), table)
	require.Len(t, table, countCodes(t), "each constant has a meaning")
}

// countCodes counts the codes that the source declares.
func countCodes(t *testing.T) int {
	f, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	require.NoError(t, err)
	n := 0
	ast.Inspect(f, func(v ast.Node) bool {
		if s, ok := v.(*ast.ValueSpec); ok {
			if i, ok := s.Type.(*ast.Ident); ok && i.Name == "Code" {
				n++
			}
		}
		return true
	})
	return n
}
