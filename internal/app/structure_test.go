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

const root = "../.."

// goFiles calls f with each Go file of the project, tests among them.
func goFiles(t *testing.T, f func(path string) error) {
	t.Helper()
	for _, top := range []string{"cmd", "decide", "internal", "tools"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
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

// sources calls f with each Go file of the program that is not a test, by its slash-separated path from the root.
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
		relative, err := filepath.Rel(root, path)
		f(filepath.ToSlash(relative), file, fset)
		return err
	})
}

// Every package and every exported item has a doc comment.
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
			t.Errorf("%s: the package has no comment", dir)
		}
	}
}

// undocumented lists the exported items of a file that have no doc comment. One comment may stand for a group.
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

// documentedSpec reports whether a spec needs no comment of its group.
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

// implements reports whether a method belongs to an interface of the standard library, whose comment stands for it.
func implements(d *ast.FuncDecl) bool {
	switch d.Name.Name {
	case "Error", "String", "Len", "Less", "Swap", "Push", "Pop", "Write", "Close":
		return true
	}
	return false
}

const mostLines = 250 // of a Go file; beyond it a file has more than one concern

// No Go file, a test or not, is longer than can be read in one go.
func TestFilesAreShort(t *testing.T) {
	goFiles(t, func(path string) error {
		text, err := os.ReadFile(path)
		if lines := strings.Count(string(text), "\n"); lines > mostLines {
			t.Errorf("%s has %d lines, %d at most", path, lines, mostLines)
		}
		return err
	})
}

// layers are the packages by what they may import of the program: those before them, and of their own layer.
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

// Imports point downward: from the program's edge to the wire, the core and the decisions.
func TestImportsPointDownward(t *testing.T) {
	sources(t, func(path string, file *ast.File, fset *token.FileSet) {
		own := layerOf(filepath.ToSlash(filepath.Dir(path)))
		if own < 0 {
			t.Errorf("%s is in no layer", path)
		}
		for _, spec := range file.Imports {
			name, inside := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), "quillrail/")
			if imported := layerOf(name); inside && imported > own {
				t.Errorf("%s imports %s, which is above it", path, name)
			}
		}
	})
}
