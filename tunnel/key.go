package tunnel

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Key is the secret with which boxes prove to each other that they know the configuration, which
// holds the keys of all client accounts. Who can open a tunnel thus gains no access by it.
type Key [sha256.Size]byte

// NewKey returns the Key of an encoded configuration.
func NewKey(config []byte) Key { return sha256.Sum256(config) }

// Purposes of proofs. A proof for one of them is none for the other.
const (
	purposeOpen   = "open"
	purposeOpened = "opened"
)

// proof returns the proof that the sender knows the key, for a tunnel to the server at the address.
func (k Key) proof(purpose, nonce, address, box string) string {
	mac := hmac.New(sha256.New, k[:])
	mac.Write([]byte(strings.Join([]string{purpose, nonce, address, box}, "\n")))

	return hex.EncodeToString(mac.Sum(nil))
}

// newNonce returns a random text.
func newNonce() (string, error) {
	b := make([]byte, sha256.Size/2)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "tunnel: nonce")
	}

	return hex.EncodeToString(b), nil
}

// Keyring holds the key of the configuration in force, and those of earlier ones while other boxes
// may still use them. It is safe for concurrent use.
type Keyring struct {
	// retention is how long a key stays valid after it was replaced.
	retention time.Duration
	now       func() time.Time

	mu sync.Mutex
	// keys has the current key last.
	keys []datedKey
}

type datedKey struct {
	// key returns the Key. It computes it on first use.
	key func() Key
	// replacedAt is zero for the current key.
	replacedAt time.Time
}

// NewKeyring returns an empty Keyring.
func NewKeyring(retention time.Duration, now func() time.Time) *Keyring {
	return &Keyring{retention: retention, now: now}
}

// Set makes the key of an encoded configuration the current one. It is computed when it is needed: a
// configuration may be large, and tunnels are rare.
func (r *Keyring) Set(config []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	old := r.keys
	r.keys = nil
	for _, v := range old {
		if v.replacedAt.IsZero() {
			v.replacedAt = now
		}
		if now.Sub(v.replacedAt) < r.retention {
			r.keys = append(r.keys, v)
		}
	}
	r.keys = append(r.keys, datedKey{key: sync.OnceValue(func() Key { return NewKey(config) })})
}

// current returns the current key, and whether there is one.
func (r *Keyring) current() (Key, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keys) == 0 {
		return Key{}, false
	}

	return r.keys[len(r.keys)-1].key(), true
}

// find returns the valid key to which the proof belongs, and whether there is one.
func (r *Keyring) find(proof, purpose, nonce, address, box string) (Key, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, v := range r.keys {
		if !v.replacedAt.IsZero() && now.Sub(v.replacedAt) >= r.retention {
			continue
		}
		if k := v.key(); hmac.Equal([]byte(proof), []byte(k.proof(purpose, nonce, address, box))) {
			return k, true
		}
	}

	return Key{}, false
}
