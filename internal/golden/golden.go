// Package golden compares test output with expected files.
//
// `make golden` rewrites the expected files of all packages.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the expected files")

// Compare fails the test if got differs from the content of the file. With -update it writes got
// to the file instead.
func Compare(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		writeFile(t, file, got)

		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", file, diff)
	}
}

// Each runs f in a subtest for each file that matches the pattern. It compares the output of f with
// the file of the same name whose extension is replaced by ".expected".
func Each(t *testing.T, pattern string, f func(t *testing.T, input []byte) string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no file matches %s: %v", pattern, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			input, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			ext := filepath.Ext(file)
			Compare(t, file[:len(file)-len(ext)]+".expected", f(t, input))
		})
	}
}

func writeFile(t *testing.T, file, got string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
		t.Fatal(err)
	}
}
