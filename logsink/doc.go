// Package logsink takes log lines without ever blocking who writes them: lines that
// the output is too slow for are left out and counted.
package logsink
