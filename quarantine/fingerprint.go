package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"sync"
)

// FingerprintSize is the size of a Fingerprint in bytes. Two of 10^9 requests collide with a
// probability of 10^-21, and nobody can construct the fingerprint of another account's request.
const FingerprintSize = 16

// Fingerprint identifies the content of a request: repeated requests with the same account, host,
// method, path and body share it. Others identify a part of prompts. It discloses nothing about the
// body to those who do not know it.
type Fingerprint [FingerprintSize]byte

// partBit is the bit of the first byte that is set in the fingerprints of prompt parts only.
const partBit = 0x80

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return f[0]&partBit != 0 }

// displayDigits is the number of hexadecimal digits in logs and the status, enough to distinguish
// the requests of a day.
const displayDigits = 12

// String returns the first digits, as used in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:])[:displayDigits] }

// hasherPool reuses hashers, so that a fingerprint allocates nothing.
var hasherPool = sync.Pool{New: func() any { return &hasher{Hash: sha256.New()} }}

type hasher struct {
	hash.Hash
	sum [sha256.Size]byte
	// prefix holds the hash input before the body.
	prefix []byte
}

// NewFingerprint returns the fingerprint of a request. The hash covers the length of each part, so
// that moving bytes between parts changes it.
func NewFingerprint(account, host, method, target string, body ...[]byte) Fingerprint {
	// The pool holds only hashers.
	h, _ := hasherPool.Get().(*hasher)
	defer hasherPool.Put(h)
	h.prefix = h.prefix[:0]
	for _, part := range [...]string{account, host, method, target} {
		h.prefix = binary.LittleEndian.AppendUint64(h.prefix, uint64(len(part)))
		h.prefix = append(h.prefix, part...)
	}
	h.Reset()
	// Writing to a hash never fails.
	_, _ = h.Write(h.prefix)
	for _, part := range body {
		_, _ = h.Write(part)
	}

	f := Fingerprint(h.Sum(h.sum[:0])[:FingerprintSize])
	f[0] &^= partBit

	return f
}
