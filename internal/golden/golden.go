// Package golden compares what a test got with the expected file of the test.
//
// `make golden` writes all expected files anew.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the expected files anew")

// Compare fails the test if got differs from the content of the file.
func Compare(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		write(t, file, got)

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

// Each runs f in a subtest for each file that matches the pattern. What f
// returns is compared with the file whose name ends in ".expected" instead.
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

func write(t *testing.T, file, got string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
		t.Fatal(err)
	}
}
