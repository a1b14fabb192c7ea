package jaystandin

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// vocabulary are the words of answers.
const vocabulary = `the order of inserts planner diary refill ships on pallet two with dated
sheets for branch stock count low reorder before noon roof guard bracket row spacing eave ridge slope snow
load survey drawing fixing rafter check valley anchor batten tile crew booking confirmed village`

// DefaultAnswerTokens is the length of an answer to a request without a bound.
const DefaultAnswerTokens = 24

// Tokens returns the tokens of the answer to a prompt; the same prompt and length
// give the same tokens on every engine.
func Tokens(prompt string, count int) []string {
	seed := xxhash.Sum64String(prompt)
	source := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // Answers need no secrets.
	words := strings.Fields(vocabulary)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = words[source.IntN(len(words))] + " "
	}
	return tokens
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, count int) string {
	return strings.Join(Tokens(prompt, count), "")
}

// promptOf returns the prompt of a completion request's body.
func promptOf(body []byte) string {
	var b strings.Builder
	gjson.GetBytes(body, "messages.#.content").ForEach(func(_, content gjson.Result) bool {
		b.WriteString(content.String())
		return true
	})
	b.WriteString(gjson.GetBytes(body, "prompt").String())
	return b.String()
}

// countOf returns the number of tokens that a completion request asks for.
func countOf(body []byte) int {
	for _, key := range []string{"max_completion_tokens", "max_tokens"} {
		if n := gjson.GetBytes(body, key).Int(); n > 0 {
			return int(n)
		}
	}
	return DefaultAnswerTokens
}
