// Package engines is a stand-in for model engines that hold a range of layers.
//
// What it computes can be checked: each layer mixes its own number into a
// value, in a way that depends on the order, and a token is written from the
// value behind the last layer. A layer that is left out, run twice or run out
// of order changes the text, and Expected tells what the text must be.
package engines

import (
	"hash/fnv"
	"strings"

	"github.com/slatebridge/slatebridge"
)

// syllables are the digits in which a token is written.
var syllables = []string{"ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te", "vi", "wo", "xu", "za"}

// syllablesPerToken is the length of a token.
const syllablesPerToken = 4

// Embed returns the value that enters layer 0 for the token behind the prompt
// and the tokens made so far.
func Embed(model slatebridge.ModelVersion, adapter string, prompt, made []string) uint64 {
	h := fnv.New64a()
	for _, part := range [][]string{{model.String(), adapter}, prompt, made} {
		for _, word := range part {
			_, _ = h.Write([]byte(word))
			_, _ = h.Write([]byte{0})
		}
	}

	return h.Sum64()
}

// Run passes the value through the layers of a range.
func Run(value uint64, r slatebridge.LayerRange) uint64 {
	const multiplier = 6364136223846793005
	for layer := r.From; layer < r.To; layer++ {
		value = (value ^ uint64(layer+1)) * multiplier
		value ^= value >> 29
	}

	return value
}

// Word writes the value behind the last layer as a token.
func Word(value uint64) string {
	var b strings.Builder
	for range syllablesPerToken {
		b.WriteString(syllables[value%uint64(len(syllables))])
		value /= uint64(len(syllables))
	}

	return b.String()
}

// Expected returns the whole answer to a prompt.
func Expected(model slatebridge.ModelVersion, adapter string, prompt []string, layers, tokens int) string {
	var made []string
	all := slatebridge.LayerRange{From: 0, To: layers}
	for range tokens {
		made = append(made, Word(Run(Embed(model, adapter, prompt, made), all)))
	}

	return strings.Join(made, " ")
}
