package intake

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// data returns n bytes that differ from their neighbors.
func data(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(i * 7)
	}

	return out
}

func TestReadBody(t *testing.T) {
	const capacity = 64 << 20
	for _, n := range []int{0, 1, minPartBytes - 1, minPartBytes, minPartBytes + 1, 3 * minPartBytes, maxPartBytes, 4 << 20} {
		for name, read := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "in halves": iotest.HalfReader, "with the end": iotest.DataErrReader,
		} {
			for _, length := range []int64{-1, int64(n)} {
				a := NewMemory(capacity)
				h := a.Hold()
				b, err := ReadBody(read(bytes.NewReader(data(n))), length, h)
				if err != nil || b.Size() != int64(n) || !bytes.Equal(b.Bytes(), data(n)) {
					t.Errorf("%d bytes, length %d, %s: %d bytes, error %v", n, length, name, b.Size(), err)
				}
				if again, _ := io.ReadAll(b.Reader()); !bytes.Equal(again, data(n)) {
					t.Errorf("%d bytes, length %d, %s: the reader differs", n, length, name)
				}
				if spare := a.Used() - int64(n); length > 0 && spare > 1 || spare > maxPartBytes {
					t.Errorf("%d bytes, length %d, %s: %d bytes more are reserved", n, length, name, spare)
				}
				if h.Release(); a.Used() != 0 {
					t.Errorf("%d bytes stay reserved", a.Used())
				}
			}
		}
	}
}

// countingReader counts the bytes that are read from an endless source.
type countingReader struct{ n int }

// Read reads zeros.
func (r *countingReader) Read(p []byte) (int, error) {
	r.n += len(p)

	return len(p), nil
}

func TestReadBodyErrors(t *testing.T) {
	const capacity = 1 << 20
	t.Run("an announced length that does not fit is not read", func(t *testing.T) {
		var r countingReader
		if _, err := ReadBody(&r, capacity, NewMemory(capacity).Hold()); !errors.Is(err, ErrFull) || r.n != 0 {
			t.Errorf("error %v after %d bytes", err, r.n)
		}
	})
	t.Run("a body without end is read only until it does not fit", func(t *testing.T) {
		var r countingReader
		a := NewMemory(capacity)
		if _, err := ReadBody(&r, -1, a.Hold()); !errors.Is(err, ErrFull) || r.n > capacity || a.Used() > capacity {
			t.Errorf("error %v after %d bytes, %d reserved", err, r.n, a.Used())
		}
	})
	t.Run("an announced length reserves only what arrives", func(t *testing.T) {
		a := NewMemory(capacity)
		_, err := ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), capacity/2, a.Hold())
		if !errors.Is(err, io.ErrUnexpectedEOF) || a.Used() > minPartBytes {
			t.Errorf("error %v, %d bytes reserved", err, a.Used())
		}
	})
	t.Run("a body that is broken off is an error", func(t *testing.T) {
		r := io.MultiReader(bytes.NewReader(data(10)), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := ReadBody(r, -1, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("error %v", err)
		}
	})
}

// BenchmarkReadBody reads a body of the usual size.
func BenchmarkReadBody(b *testing.B) {
	const usual = 3600
	body, a := data(usual), NewMemory(64<<20)
	b.ReportAllocs()
	for b.Loop() {
		h := a.Hold()
		if _, err := ReadBody(bytes.NewReader(body), usual, h); err != nil {
			b.Fatal(err)
		}
		h.Release()
	}
}
