// Package engines is a stand-in for model engines that hold a layer range.
//
// Its output can be verified: each layer mixes its number into a value, in a way that depends on
// the order of layers, and the value after the last layer determines the token. A layer that is
// skipped, run twice or run out of order changes the text. ExpectedAnswer returns the correct text.
package engines

import (
	"hash/fnv"
	"strings"

	"github.com/slatebridge/slatebridge"
)

// syllables are the digits of the base-16 notation of tokens.
var syllables = []string{"ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te", "vi", "wo", "xu", "za"}

// syllablesPerToken is the length of a token in syllables.
const syllablesPerToken = 4

// LayerInput returns the input of layer 0 for the token that follows the prompt and the tokens
// generated so far.
func LayerInput(model slatebridge.ModelVersion, adapter string, prompt, generated []string) uint64 {
	h := fnv.New64a()
	for _, part := range [][]string{{model.String(), adapter}, prompt, generated} {
		for _, word := range part {
			_, _ = h.Write([]byte(word))
			_, _ = h.Write([]byte{0})
		}
	}

	return h.Sum64()
}

// RunLayers runs the layers of a range on the value.
func RunLayers(value uint64, r slatebridge.LayerRange) uint64 {
	const multiplier = 6364136223846793005
	for layer := r.From; layer < r.To; layer++ {
		value = (value ^ uint64(layer+1)) * multiplier
		value ^= value >> 29
	}

	return value
}

// FormatToken returns the token for the output of the last layer.
func FormatToken(value uint64) string {
	var b strings.Builder
	for range syllablesPerToken {
		b.WriteString(syllables[value%uint64(len(syllables))])
		value /= uint64(len(syllables))
	}

	return b.String()
}

// ExpectedAnswer returns the complete correct answer to a prompt.
func ExpectedAnswer(model slatebridge.ModelVersion, adapter string, prompt []string, layers, tokens int) string {
	var generated []string
	all := slatebridge.LayerRange{From: 0, To: layers}
	for range tokens {
		generated = append(generated, FormatToken(RunLayers(LayerInput(model, adapter, prompt, generated), all)))
	}

	return strings.Join(generated, " ")
}
