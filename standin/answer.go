package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length in bytes of a token in prompts and answers.
const TokenBytes = 4

// answerAlphabet has 32 characters, so that five random bits select one of them.
const answerAlphabet = "abcdefghijklmnopqrstuvwxyz012345"

// CallerID returns the part of a request ID that the caller chose: everything before the first character that is not an ASCII
// letter or digit. Entry VMs append suffixes to make IDs unique and to distinguish attempts.
func CallerID(requestID string) string {
	end := strings.IndexFunc(requestID, func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		return requestID
	}
	return requestID[:end]
}

// AnswerText returns the n-token text that an engine generates for a request. The text depends only on the model and on the CallerID
// of the request ID, so that a client can verify that an answer is complete and belongs to its request.
func AnswerText(requestID, model string, n int) string {
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

// mix returns the output of the splitmix64 generator for the state x.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
