package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlatformNamesStayInItsFolder: no source file outside platform/ contains a name that
// belongs to the platform, as listed in platform/names.txt.
func TestPlatformNamesStayInItsFolder(t *testing.T) {
	t.Parallel()
	content, err := os.ReadFile("../platform/names.txt")
	assert.NilError(t, err)
	names := strings.Fields(string(content))
	assert.Assert(t, len(names) > 0)
	for _, root := range []string{"../cmd", "../internal"} {
		assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, name := range names {
				if strings.Contains(string(source), name) {
					t.Errorf("%s contains %s", path, name)
				}
			}
			return nil
		}))
	}
}

// TestAdapterOnlyTranslates: the platform adapter only translates. It starts no goroutine,
// holds no lock and keeps no state, and it makes no decisions of its own.
func TestAdapterOnlyTranslates(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("../platform/*.go")
	assert.NilError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, forbidden := range []string{"go func", "sync.", "time.Sleep", "time.Now", "rand."} {
			assert.Check(t, !strings.Contains(string(source), forbidden), "%s has %q", file, forbidden)
		}
	}
}
