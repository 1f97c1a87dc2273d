package integration

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	repository = "../.."
	knownRed   = repository + "/KNOWN-RED.txt"
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
	build := exec.Command("go", "build", "-o", program, repository+"/cmd/alderdyke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	code := m.Run()
	if *resultsFile != "" {
		if err := results.write(filepath.Join(repository, *resultsFile)); err != nil {
			fmt.Fprintln(os.Stderr, "write the results:", err)
			return 1
		}
	}
	return code
}

// known passes over a test that is listed as failing for a known fault.
func known(t *testing.T) {
	t.Helper()
	file, err := os.Open(knownRed)
	if os.IsNotExist(err) {
		return
	}
	if err != nil {
		t.Fatalf("read the known faults: %v", err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if name, _, ok := strings.Cut(lines.Text(), ","); ok && strings.TrimSpace(name) == t.Name() {
			fmt.Println("KNOWN RED:", lines.Text())
			t.Skip(lines.Text())
		}
	}
}
