package almondstep

import (
	"crypto/sha256"
	"encoding/hex"
)

// hashBytes is the number of leading bytes of a SHA-256 that a Hash keeps.
const hashBytes = 16

// HashOf returns the hash of a document's body.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(hex.EncodeToString(sum[:hashBytes]))
}
