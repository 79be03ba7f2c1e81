// Package claim prevents calls that must not be repeated from running twice, for services whose
// servers do not deduplicate requests themselves.
//
// A box appends a claim to the platform's log before it sends a call. For each key, the claim with
// the lowest offset is the owner, and only its box may send the call. A later claim replaces the
// owner only if it names it, which a box does only after the owner's box has abandoned that claim
// for good. The rule depends on neither leases nor clocks, so pauses, crashes and network
// partitions cannot break it.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/slatebridge/slatebridge"
)

// StreamName is the name of the claims stream in the platform's log.
const StreamName = "claims"

// keyVersion is the version of the time-ordered UUIDs, which contain their creation time.
const keyVersion = 7

// Key identifies a call that must not be repeated.
type Key struct {
	Account string
	Service string
	// ID is the caller's Idempotency-Key.
	ID uuid.UUID
}

// ErrInvalidKey is returned for a key that is not a version 7 UUID.
var ErrInvalidKey = errors.New("claim: the key is not a version 7 UUID")

// ParseKeyID parses an Idempotency-Key.
func ParseKeyID(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion {
		return uuid.UUID{}, ErrInvalidKey
	}

	return id, nil
}

// IssuedAt returns when the caller generated the key, by the caller's clock. The time is part of
// the key, so every retry carries the same one.
func (k Key) IssuedAt() time.Time {
	sec, nsec := k.ID.Time().UnixTime()

	return time.Unix(sec, nsec)
}

// Digest is the truncated hash that identifies a Key in the log.
type Digest [16]byte

// Digest returns the first 16 bytes of the key's SHA-256 hash.
func (k Key) Digest() Digest {
	sum := sha256.Sum256([]byte(k.Account + "\x00" + k.Service + "\x00" + k.ID.String()))

	return Digest(sum[:16])
}

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText decodes a hexadecimal digest.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Newf("claim: digest %q has the wrong length", text)
	}
	_, err := hex.Decode(d[:], text)

	return err
}

// BodyHash returns the hash by which the bodies of two calls with the same key are compared.
func BodyHash(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// ID identifies a claim by the box that made it, that box's boot ID and a sequence number.
type ID struct {
	Box  slatebridge.BoxID
	Boot string
	Seq  int64
}

// IsZero reports whether the ID names no claim.
func (id ID) IsZero() bool {
	return id == ID{}
}

// String returns the ID in the form "box/boot/seq".
func (id ID) String() string {
	return fmt.Sprintf("%s/%s/%d", id.Box, id.Boot, id.Seq)
}

// ParseID parses the form that String returns.
func ParseID(text string) (ID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return ID{}, errors.Newf("claim: %q is not of the form box/boot/seq", text)
	}
	seq, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return ID{}, errors.Wrap(err, "claim: invalid sequence number in claim ID")
	}

	return ID{Box: slatebridge.BoxID(parts[0]), Boot: parts[1], Seq: seq}, nil
}

// MarshalText returns the same form as String.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText parses the form that MarshalText returns.
func (id *ID) UnmarshalText(text []byte) error {
	v, err := ParseID(string(text))
	*id = v

	return err
}
