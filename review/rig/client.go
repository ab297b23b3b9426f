package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

// Client is a client that sends its requests one after another, on a connection that it keeps
// as long as it can.
type Client struct {
	// Router is where it connects.
	Router *Router

	conn net.Conn
	in   *bufio.Reader
}

// Exchange sends a request and returns its answer, which is whole if there is no error. The
// client waits for a time at most.
func (c *Client) Exchange(request string, patience time.Duration) (standin.PlatformAnswer, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.Router.Callers, patience)
		if err != nil {
			return standin.PlatformAnswer{}, err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience)) // fails only on a closed connection
	_, err := io.WriteString(c.conn, request)
	a := standin.PlatformAnswer{Closes: true}
	if err == nil {
		a, err = standin.ReadPlatformAnswer(c.in)
	}
	if err == nil && !a.Whole {
		err = errors.New("the answer is incomplete")
	}
	if err != nil || a.Closes {
		c.Close()
	}
	return a, err
}

// Connected reports whether the client keeps a connection.
func (c *Client) Connected() bool { return c.conn != nil }

// Close closes the connection, if there is one.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Text returns a request as it is sent, with one more header field unless that is "".
func Text(r standin.PlatformRequest, field string) string {
	var b strings.Builder
	_ = r.Write(&b)
	if field != "" {
		field += "\r\n"
	}
	return strings.Replace(b.String(), "\r\n\r\n", "\r\n"+field+"\r\n", 1)
}

// ResidentBytes returns the resident memory of a process, without the bytes that the kernel
// holds for it, or 0 once it has ended.
func ResidentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
