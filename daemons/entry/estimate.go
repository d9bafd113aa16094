package entry

const (
	// bytesPerToken is the usual length of a token of plain text.
	bytesPerToken = 4
	// defaultAnswerTokens is the estimate for a completion that names no bound:
	// the mean at design size, 720,000 tokens/s over 1,500 requests/s.
	defaultAnswerTokens = 480
	// maxAnswerTokens bounds the estimate. A caller may name any number, and an
	// estimate without bound would block its organisation's token limit for hours.
	maxAnswerTokens = 1 << 17
)

// estimateTokens returns the cost of a request in tokens.
func estimateTokens(promptBytes, answerTokens int) float64 {
	return float64(promptBytes)/bytesPerToken + float64(answerTokens)
}

// answerTokens returns the most tokens that the answer may have.
func (c completionRequest) answerTokens() int {
	asked := max(c.MaxTokens, c.MaxCompletionTokens)
	if asked <= 0 {
		return defaultAnswerTokens
	}
	return min(asked, maxAnswerTokens)
}
