package httpheader_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/httpheader"
)

// TestCheckNames cuts heads at each byte: a head is complete only with its last byte, and an
// invalid name is found at the latest with the line that holds it.
func TestCheckNames(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	for head, valid := range map[string]bool{
		line + "\r\n": true, line + "X-A: v\r\n\r\n": true, line + "x_a!#$%&'*+-.^`|~9:\r\n\r\n": true, line + "X-A: a b: c\r\nB:\r\n\r\n": true,
		"HTTP/1.1 200 OK\nX-A: v\n\n": true, "HTTP/1.1 200 OK\nX-A: v\n\r\n": true, "HTTP/1.1 200\r\nX-A: v\n\n": true,
		line + "X A: v\r\n": false, line + "X-A : v\r\n": false, line + "B: v\r\nX-A\t: v\r\n": false, line + " X-A: v\r\n": false, line + "B: v\r\n\tX-A: v\r\n": false,
		line + "\n": false, line + "B: v\r\n\n": false, line + ": v\r\n": false, line + "v\r\n": false, line + "X\x00: v\r\n": false, line + "\xff: v\r\n": false, line + "\rB: v\r\n": false,
	} {
		t.Run(strings.ReplaceAll(head, "\r\n", "|"), func(t *testing.T) {
			is := is.New(t)
			for end := range head {
				isComplete, err := httpheader.CheckNames([]byte(head[:end]))
				is.NoErr(err)
				is.True(!isComplete)
			}
			isComplete, err := httpheader.CheckNames([]byte(head))
			is.Equal(err == nil, valid)
			is.Equal(isComplete, valid)
		})
	}
}

// TestCheckNameQuotesAPart checks that a long name doesn't fill the logs.
func TestCheckNameQuotesAPart(t *testing.T) {
	is := is.New(t)
	err := httpheader.CheckName(strings.Repeat(" ", 4096))
	is.True(err != nil)
	is.True(len(err.Error()) < 200)
}
