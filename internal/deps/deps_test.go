package deps

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const moduleRoot = "../.."

// forbiddenImports are imports that no package of this module may have: a process
// must not start other processes, and only the project's own code may proxy or
// tunnel traffic. A path covers itself and all packages below it.
var forbiddenImports = []string{
	"os/exec",
	"plugin",
	"net/http/httputil",
	"golang.org/x/net/proxy",
	"golang.org/x/net/http/httpproxy",
	"github.com/kataras/tunnel",
	"github.com/elazarl/goproxy",
	"github.com/hashicorp/memberlist",
	"github.com/hashicorp/raft",
	"github.com/hashicorp/serf",
	"go.etcd.io",
}

// processTestDirs are the directories of the tests that run VMs as real processes.
// Only test files in these directories may import os/exec.
var processTestDirs = []string{filepath.Join(moduleRoot, "internal", "integration"), filepath.Join(moduleRoot, "platform")}

// testOnlyImports are imports that only test files may have.
var testOnlyImports = []string{
	"github.com/Shopify/toxiproxy",
	"github.com/anishathalye/porcupine",
	"go.uber.org/goleak",
	"gotest.tools/v3",
	"pgregory.net/rapid",
	"testing",
}

// matchesAny reports whether a path equals an entry of the list or lies below one.
func matchesAny(path string, list []string) bool {
	for _, entry := range list {
		if path == entry || strings.HasPrefix(path, entry+"/") {
			return true
		}
	}
	return false
}

// importsByFile returns the imports of each Go file below a directory.
func importsByFile(t *testing.T, dir string) map[string][]string {
	found := map[string][]string{}
	err := filepath.WalkDir(dir, func(path string, de fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if de.IsDir() && strings.HasPrefix(de.Name(), ".") && path != dir {
			return filepath.SkipDir
		}
		if de.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, im := range file.Imports {
			name, err := strconv.Unquote(im.Path.Value)
			if err != nil {
				return err
			}
			found[path] = append(found[path], name)
		}
		return nil
	})
	assert.NilError(t, err)
	return found
}

func TestImports(t *testing.T) {
	all := importsByFile(t, moduleRoot)
	assert.Assert(t, len(all[filepath.Join(moduleRoot, "pkg", "clock", "clock.go")]) > 0, "the directory walk did not reach pkg/clock/clock.go")
	for path, names := range all {
		test := strings.HasSuffix(path, "_test.go")
		for _, name := range names {
			if test && name == "os/exec" && slices.Contains(processTestDirs, filepath.Dir(path)) {
				continue
			}
			assert.Check(t, !matchesAny(name, forbiddenImports), "%s imports %s", path, name)
			assert.Check(t, test || !matchesAny(name, testOnlyImports), "%s is not a test file and imports the test library %s", path, name)
		}
	}
}

func TestMatchesAny(t *testing.T) {
	assert.Assert(t, matchesAny("os/exec", forbiddenImports))
	assert.Assert(t, matchesAny("github.com/hashicorp/raft/v2", forbiddenImports))
	assert.Assert(t, !matchesAny("os/execute", forbiddenImports))
	assert.Assert(t, !matchesAny("os", forbiddenImports))
}
