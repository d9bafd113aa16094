package entry

const (
	// bytesPerToken is the typical length of a token of plain text.
	bytesPerToken = 4
	// defaultCompletionTokens is the estimate for a completion without a token limit:
	// the mean at design size, 720,000 tokens/s divided by 1,500 requests/s.
	defaultCompletionTokens = 480
	// maxCompletionTokens bounds the estimate. A caller may request any number, and an
	// unbounded estimate would use up its organisation's token limit for hours.
	maxCompletionTokens = 1 << 17
)

// estimateTokens returns the estimated cost of a request in tokens.
func estimateTokens(promptBytes, completionTokens int) float64 {
	return float64(promptBytes)/bytesPerToken + float64(completionTokens)
}

// completionTokens returns the estimated maximum number of tokens in the response.
func (c completionRequest) completionTokens() int {
	requested := max(c.MaxTokens, c.MaxCompletionTokens)
	if requested <= 0 {
		return defaultCompletionTokens
	}
	return min(requested, maxCompletionTokens)
}
