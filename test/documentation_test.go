package test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPublicItemsAreDocumented: every package and every exported type, function, method of
// an exported type, constant and variable has a doc comment.
func TestPublicItemsAreDocumented(t *testing.T) {
	t.Parallel()
	packages := make(map[string]bool)
	for _, root := range []string{"../cmd", "../internal", "../platform"} {
		assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			directory := filepath.Dir(path)
			packages[directory] = packages[directory] || file.Doc != nil
			for _, declaration := range file.Decls {
				for _, name := range undocumented(declaration) {
					t.Errorf("%s: %s has no doc comment", set.Position(declaration.Pos()), name)
				}
			}
			return nil
		}))
	}
	for directory, documented := range packages {
		assert.Check(t, documented, "%s has no package comment", directory)
	}
}

// undocumented returns the exported names of a declaration that have no comment.
func undocumented(declaration ast.Decl) []string {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Doc == nil && d.Name.IsExported() && hasPublicReceiver(d) {
			return []string{d.Name.Name}
		}
	case *ast.GenDecl:
		return undocumentedSpecs(d)
	}
	return nil
}

func hasPublicReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	if pointer, isPointer := receiver.(*ast.StarExpr); isPointer {
		receiver = pointer.X
	}
	name, isName := receiver.(*ast.Ident)
	return isName && name.IsExported()
}

// undocumentedSpecs checks types, constants and variables. A comment on a group covers its
// members.
func undocumentedSpecs(d *ast.GenDecl) []string {
	var missing []string
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && d.Doc == nil && s.Doc == nil {
				missing = append(missing, s.Name.Name)
			}
		case *ast.ValueSpec:
			for _, name := range s.Names {
				if name.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					missing = append(missing, name.Name)
				}
			}
		}
	}
	return missing
}
