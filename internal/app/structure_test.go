package app

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const moduleRoot = "../.."

// goFiles calls f with the path of each Go file of the project, including tests.
func goFiles(t *testing.T, f func(path string) error) {
	t.Helper()
	for _, top := range []string{"cmd", "decide", "internal", "tools"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			return f(path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// sources parses each Go file that is not a test and calls f with it and its slash-separated path from the module's root.
func sources(t *testing.T, f func(path string, file *ast.File, fset *token.FileSet)) {
	t.Helper()
	fset := token.NewFileSet()
	goFiles(t, func(path string) error {
		if strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, path)
		f(filepath.ToSlash(relative), file, fset)
		return err
	})
}

// Every package and every exported item must have a doc comment.
func TestDocComments(t *testing.T) {
	packages := map[string]bool{}
	sources(t, func(path string, file *ast.File, fset *token.FileSet) {
		dir := filepath.Dir(path)
		packages[dir] = packages[dir] || file.Doc != nil
		for _, item := range undocumented(file) {
			t.Errorf("%s: no doc comment", fset.Position(item.Pos()))
		}
	})
	for dir, documented := range packages {
		if !documented {
			t.Errorf("%s: the package has no doc comment", dir)
		}
	}
}

// undocumented returns the exported items of a file that have no doc comment. One comment may cover a group.
func undocumented(file *ast.File) (items []ast.Node) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && (d.Recv == nil || receiverIsExported(d) && !implements(d)) {
				items = append(items, d)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if d.Doc == nil && !documentedSpec(spec) {
					items = append(items, spec)
				}
			}
		}
	}
	return items
}

// documentedSpec reports whether a spec needs no comment on its group.
func documentedSpec(spec ast.Spec) bool {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		return s.Doc != nil || s.Comment != nil || !s.Name.IsExported()
	case *ast.ValueSpec:
		for _, name := range s.Names {
			if name.IsExported() && s.Doc == nil && s.Comment == nil {
				return false
			}
		}
	}
	return true
}

func receiverIsExported(d *ast.FuncDecl) bool {
	receiver := d.Recv.List[0].Type
	if star, pointer := receiver.(*ast.StarExpr); pointer {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}

// implements reports whether a method implements an interface of the standard library, which documents it.
func implements(d *ast.FuncDecl) bool {
	switch d.Name.Name {
	case "Error", "String", "Len", "Less", "Swap", "Push", "Pop", "Write", "Close":
		return true
	}
	return false
}

const maxLines = 250 // of a Go file; a longer one probably has more than one concern

// No Go file, including tests, may be longer than maxLines.
func TestFileLengths(t *testing.T) {
	goFiles(t, func(path string) error {
		text, err := os.ReadFile(path)
		if lines := strings.Count(string(text), "\n"); lines > maxLines {
			t.Errorf("%s has %d lines, want at most %d", path, lines, maxLines)
		}
		return err
	})
}

// layers lists the packages from the lowest layer to the highest. A package may import packages of its own and of lower layers.
var layers = [][]string{
	{"internal/ranking", "internal/transient"},
	{"decide"},
	{"internal/settings", "internal/roster", "internal/plan"},
	{"internal/core"},
	{"internal/fleet"},
	{"internal/wire"},
	{"internal/lifecycle"},
	{"internal/lab", "internal/app", "cmd", "tools"},
}

func layerOf(path string) int {
	for i, layer := range layers {
		for _, prefix := range layer {
			if path == prefix || strings.HasPrefix(path, prefix+"/") {
				return i
			}
		}
	}
	return -1
}

// Packages must not import packages of a higher layer: the command line is the highest, decisions are at the bottom.
func TestImportsPointDownward(t *testing.T) {
	sources(t, func(path string, file *ast.File, fset *token.FileSet) {
		own := layerOf(filepath.ToSlash(filepath.Dir(path)))
		if own < 0 {
			t.Errorf("%s belongs to no layer", path)
		}
		for _, spec := range file.Imports {
			name, inside := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), "quillrail/")
			if imported := layerOf(name); inside && imported > own {
				t.Errorf("%s imports %s, which is in a higher layer", path, name)
			}
		}
	})
}
