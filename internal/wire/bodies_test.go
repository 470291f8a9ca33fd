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

// TestNoMessageCarriesARequest: nodes tell each other counts and names, never what a client
// sent, so no node hands a request on and none of it is stored outside its homes. A
// message with bytes of a row carries the platform's tables.
func TestNoMessageCarriesARequest(t *testing.T) {
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	fields := 0
	for _, path := range files {
		if !strings.HasSuffix(path, "_test.go") {
			fields += checkFields(t, path)
		}
	}
	assert.Assert(t, fields > 50, "%d fields read", fields)
}

// checkFields looks at the messages of a file and returns how many fields they have.
func checkFields(t *testing.T, path string) int {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	fields := 0
	ast.Inspect(file, func(node ast.Node) bool {
		if declared, ok := node.(*ast.TypeSpec); ok && declared.Name.Name == "envelope" {
			// What is around each message holds the message itself.
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
					assert.Assert(t, !strings.Contains(name.Name, forbidden), "%s: field %s", path, name.Name)
				}
			}
		}
		return true
	})
	return fields
}
