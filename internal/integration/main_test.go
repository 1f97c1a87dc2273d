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
	program     string // path of the built program
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "alderdyke")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create a directory for the program:", err)
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

// skipKnownRed skips a test that is listed as failing because of a known fault,
// unless tests are selected with -run, as .ci/run does for the listed tests
// after all others.
func skipKnownRed(t *testing.T) {
	t.Helper()
	if flag.Lookup("test.run").Value.String() != "" {
		return
	}
	text, err := os.ReadFile(knownRedFile)
	if err != nil && !os.IsNotExist(err) {
		t.Fatalf("read the list of known faults: %v", err)
	}
	if line, ok := findKnownRed(string(text), t.Name()); ok {
		fmt.Println("KNOWN RED:", line)
		t.Skip(line)
	}
}

// findKnownRed returns the entry of a test in the list of known faults. An
// entry is a line "TestName: cause; issue", which .ci/run parses in the same
// way.
func findKnownRed(text, test string) (line string, ok bool) {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, test+": ") {
			return strings.TrimSpace(line), true
		}
	}
	return "", false
}

// A run of this package skips exactly the tests that .ci/run skips, so both must
// accept the same format of entries.
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
