package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFaultsNameExistingTests checks that each row of docs/FAULTS.md names at least one test and that all named tests exist.
func TestFaultsNameExistingTests(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(repository, "docs", "FAULTS.md"))
	require.NoError(t, err)
	have := testsInTree(t)
	name := regexp.MustCompile("`(Test[A-Za-z0-9]+)`")
	rows := 0
	for l := range strings.Lines(string(b)) {
		if !strings.HasPrefix(l, "| ") || strings.HasPrefix(l, "| fault ") {
			continue
		}
		rows++
		named := name.FindAllStringSubmatch(l, -1)
		require.NotEmpty(t, named, "a fault without a test: %s", l)
		for _, n := range named {
			require.Contains(t, have, n[1])
		}
	}
	require.NotZero(t, rows)
}

// testsInTree returns the names of all tests of the module.
func testsInTree(t *testing.T) map[string]bool {
	m := map[string]bool{}
	declared := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
	for _, folder := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(repository, folder), func(p string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(p, "_test.go") {
				return err
			}
			b, err := os.ReadFile(p)
			for _, n := range declared.FindAllStringSubmatch(string(b), -1) {
				m[n[1]] = true
			}
			return err
		})
		require.NoError(t, err)
	}
	return m
}
