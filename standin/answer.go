package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of a token in prompts and answers.
const TokenBytes = 4

const answerAlphabet = "abcdefghijklmnopqrstuvwxyz012345"

// CallerID returns the part of a request ID that the caller chose: everything before the first character that is neither a
// letter nor a digit. Entry VMs append suffixes to make IDs unique and to tell attempts apart.
func CallerID(requestID string) string {
	end := strings.IndexFunc(requestID, func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		return requestID
	}
	return requestID[:end]
}

// Answer returns the text of n tokens that an engine generates for a request, a function of the CallerID of the request ID
// and the model. A client that knows both can verify that an answer is whole and its own.
func Answer(requestID, model string, n int) string {
	var b strings.Builder
	b.Grow(n * TokenBytes)
	seed := xxhash.Sum64String(model + "\x00" + CallerID(requestID))
	for i := range n {
		x := mix(seed + uint64(i))
		b.WriteByte(answerAlphabet[x&31])
		b.WriteByte(answerAlphabet[x>>5&31])
		b.WriteByte(answerAlphabet[x>>10&31])
		b.WriteByte(' ')
	}
	return b.String()
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
