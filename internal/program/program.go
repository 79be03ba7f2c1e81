// Package program identifies the program that runs, so that logs, metrics and the command line tell two
// builds apart. The version alone does not: every build between two releases has the same.
package program

import (
	"debug/buildinfo"
	"debug/elf"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Version is the version of the programs.
const Version = "0.1.0"

// Identity says which program runs and how it was built.
type Identity struct {
	// Name is the name of the program's file, and Version the version of its source.
	Name    string `json:"name"`
	Version string `json:"version"`
	// Digest is the digest of the program's content. The linker writes it into the file as the last part
	// of the build ID, which `go tool buildid FILE` prints. Builds of the same source with the same
	// settings in the same folder have the same digest. If it cannot be read, it says why.
	Digest string `json:"digest"`
	// Architecture and Toolchain are those that the program was built for and with.
	Architecture string `json:"architecture"`
	Toolchain    string `json:"toolchain"`
	// Revision is the commit of the source; empty if the build did not record it.
	Revision string `json:"revision,omitempty"`
	// Settings are the build settings, such as "-ldflags=-linkmode=external".
	Settings []string `json:"settings,omitempty"`
}

// Current returns the identity of the running program.
var Current = sync.OnceValue(func() Identity {
	id := Identity{Name: filepath.Base(os.Args[0]), Version: Version, Architecture: runtime.GOARCH, Toolchain: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		id = id.withBuild(info)
	}
	digest, err := ownDigest()
	if err != nil {
		digest = "unknown: " + err.Error()
	}
	id.Digest = digest

	return id
})

// String returns the identity as one line.
func (i Identity) String() string {
	parts := []string{i.Name, i.Version, i.Digest, i.Architecture, i.Toolchain}
	if i.Revision != "" {
		parts = append(parts, i.Revision)
	}

	return strings.Join(append(parts, i.Settings...), " ")
}

// withBuild returns the identity with what the build recorded about itself.
func (i Identity) withBuild(info *buildinfo.BuildInfo) Identity {
	modified := false
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			i.Revision = s.Value
		case s.Key == "vcs.modified":
			modified = s.Value == "true"
		case s.Value != "" && !strings.HasPrefix(s.Key, "vcs"):
			i.Settings = append(i.Settings, s.Key+"="+s.Value)
		}
	}
	if modified {
		i.Revision += " (modified)"
	}

	return i
}

// runningFile names the file that runs, also after another one has taken its path.
const runningFile = "/proc/self/exe"

// ownDigest returns the digest of the running program.
func ownDigest() (string, error) {
	digest, err := Digest(runningFile)
	if err == nil {
		return digest, nil
	}
	path, pathErr := os.Executable()
	if pathErr != nil {
		return "", errors.CombineErrors(err, pathErr)
	}

	return Digest(path)
}

const (
	// buildIDSection is the section of an ELF file with the build ID, as a note.
	buildIDSection = ".note.go.buildid"
	// noteHeaderBytes is the size of what precedes the text of the note: three numbers and the name.
	noteHeaderBytes = 16
	// noteSizeOffset is the offset of the size of the text.
	noteSizeOffset = 4
)

// Digest returns the digest of the program in the file.
func Digest(path string) (string, error) {
	f, err := elf.Open(path)
	if err != nil {
		return "", errors.Wrap(err, "program: open")
	}
	defer func() { _ = f.Close() }()
	section := f.Section(buildIDSection)
	if section == nil {
		return "", errors.New("program: the file has no build ID")
	}
	note, err := section.Data()
	if err != nil {
		return "", errors.Wrap(err, "program: read the build ID")
	}
	if len(note) < noteHeaderBytes {
		return "", errors.New("program: the note of the build ID is too short")
	}
	size := uint64(f.ByteOrder.Uint32(note[noteSizeOffset:]))
	text := note[noteHeaderBytes:]
	if size == 0 || size > uint64(len(text)) {
		return "", errors.New("program: the build ID is cut")
	}
	id := string(text[:size])

	return id[strings.LastIndex(id, "/")+1:], nil
}
