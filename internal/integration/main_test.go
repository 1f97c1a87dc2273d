package integration

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	repositoryRoot = "../.."
	knownRedFile   = repositoryRoot + "/KNOWN-RED.txt"
)

var (
	resultsFile = flag.String("results", "", "write the table of results to this file, relative to the repository's root")
	program     string // the built program
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "alderdyke")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make a directory for the program:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "alderdyke")
	build := exec.Command("go", "build", "-o", program, repositoryRoot+"/cmd/alderdyke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	code := m.Run()
	if *resultsFile != "" {
		if err := results.write(filepath.Join(repositoryRoot, *resultsFile)); err != nil {
			fmt.Fprintln(os.Stderr, "write the results:", err)
			return 1
		}
	}
	return code
}

// skipKnownRed passes over a test that is listed as failing for a skipKnownRed fault, unless
// it was asked for by name, as .ci/run does after all others.
func skipKnownRed(t *testing.T) {
	t.Helper()
	if flag.Lookup("test.run").Value.String() != "" {
		return
	}
	text, err := os.ReadFile(knownRedFile)
	if err != nil && !os.IsNotExist(err) {
		t.Fatalf("read the known faults: %v", err)
	}
	if line, ok := findKnownRed(string(text), t.Name()); ok {
		fmt.Println("KNOWN RED:", line)
		t.Skip(line)
	}
}

// findKnownRed finds the line of a test among the known faults. A line is
// "TestName: cause; issue", as .ci/run reads it.
func findKnownRed(text, test string) (line string, ok bool) {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, test+": ") {
			return strings.TrimSpace(line), true
		}
	}
	return "", false
}

// The lines that .ci/run passes over are those that a plain run of this package
// passes over, and no others.
func TestKnownRedLineFormat(t *testing.T) {
	for _, tc := range []struct {
		text string
		want string
	}{
		{"TestOne: a cause, of two parts; issue 2\n", "TestOne: a cause, of two parts; issue 2"},
		{"TestTwo: a cause\nTestOne: another; issue 2", "TestOne: another; issue 2"},
		{"TestOne, a cause; issue 2\n", ""},
		{"TestOne:a cause\n", ""},
		{" TestOne: a cause\n", ""},
		{"TestOneMore: a cause\n", ""},
		{"", ""},
	} {
		line, ok := findKnownRed(tc.text, "TestOne")
		assert.Equal(t, line, tc.want, "%q", tc.text)
		assert.Equal(t, ok, tc.want != "", "%q", tc.text)
	}
}
