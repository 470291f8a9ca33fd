package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNoMessageCarriesARequest checks that nodes exchange counts and names but never what a client
// sent, so that no node forwards a request and none of its content is stored outside its homes.
// Messages with the bytes of a row carry tables of the platform.
func TestNoMessageCarriesARequest(t *testing.T) {
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	fields := 0
	for _, path := range files {
		if !strings.HasSuffix(path, "_test.go") {
			fields += checkFields(t, path)
		}
	}
	assert.Assert(t, fields > 50, "only %d fields found", fields)
}

// checkFields checks the fields of the messages in a file and returns their number.
func checkFields(t *testing.T, path string) int {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	fields := 0
	ast.Inspect(file, func(node ast.Node) bool {
		if declared, ok := node.(*ast.TypeSpec); ok && declared.Name.Name == "envelope" {
			// The envelope contains the message itself.
			return false
		}
		structure, ok := node.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range structure.Fields.List {
			for _, name := range field.Names {
				fields++
				for _, forbidden := range []string{"Body", "Prompt", "Header", "Messages", "Text"} {
					assert.Assert(t, !strings.Contains(name.Name, forbidden), "%s: forbidden field %s", path, name.Name)
				}
			}
		}
		return true
	})
	return fields
}
