package program

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// TestDigest guards against logs that can't say which program wrote them: two builds of the same version
// differ in their digest, also after another build has taken the path of the one that runs.
func TestDigest(t *testing.T) {
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	want, err := Digest(path)
	if err != nil || want == "" {
		t.Fatalf("digest %q, error %v", want, err)
	}
	if got := Current().Digest; got != want {
		t.Errorf("the running program has digest %q, its file %q", got, want)
	}
	t.Run("a changed build", func(t *testing.T) {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		other := filepath.Join(t.TempDir(), "other")
		changed := strings.Repeat("x", len(want))
		if err := os.WriteFile(other, []byte(strings.ReplaceAll(string(data), want, changed)), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Digest(other); err != nil || got != changed {
			t.Errorf("digest %q, error %v, want %q", got, err, changed)
		}
	})
	for name, content := range map[string]string{"no program": "text", "empty": "", "a cut program": "\x7fELF"} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "file")
			if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			if got, err := Digest(file); err == nil {
				t.Errorf("digest %q, want an error", got)
			}
		})
	}
}

func TestIdentityString(t *testing.T) {
	line := Current().String()
	for _, want := range []string{Version, Current().Digest, runtime.GOARCH, runtime.Version(), "GOARCH=" + runtime.GOARCH} {
		if !strings.Contains(line, want) {
			t.Errorf("%q lacks %q", line, want)
		}
	}
}
