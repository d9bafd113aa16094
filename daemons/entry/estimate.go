package entry

const (
	// bytesPerToken is the typical length of a token of plain text.
	bytesPerToken = 4
	// defaultAnswerTokens is the estimate for a completion without a token limit:
	// the mean at design size, 720,000 tokens/s divided by 1,500 requests/s.
	defaultAnswerTokens = 480
	// maxAnswerTokens bounds the estimate. A caller may request any number, and an
	// unbounded estimate would use up its organisation's token limit for hours.
	maxAnswerTokens = 1 << 17
)

// estimateTokens returns the estimated cost of a request in tokens.
func estimateTokens(promptBytes, answerTokens int) float64 {
	return float64(promptBytes)/bytesPerToken + float64(answerTokens)
}

// answerTokens returns the estimated maximum number of tokens of the answer.
func (c completionRequest) answerTokens() int {
	requested := max(c.MaxTokens, c.MaxCompletionTokens)
	if requested <= 0 {
		return defaultAnswerTokens
	}
	return min(requested, maxAnswerTokens)
}
