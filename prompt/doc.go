// Package prompt measures the prompt of an OpenAI-style request: its estimated
// length in tokens and the chained hashes of its blocks.
package prompt
