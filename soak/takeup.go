package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"time"
)

// maxTakeUps bounds how often a caller takes a stream up.
const maxTakeUps = 3

// marks matches the comments in which engines name their software version.
var marks = regexp.MustCompile(`(?m)^:(?: (v\d+)\n|.*\z)`)

// body returns the body of the answer without the engines' marks.
func (c *call) body() string { return marks.ReplaceAllString(c.answer.Body, "") }

// wholeEvents returns the number of the last whole event that a caller has received.
func (c *call) wholeEvents() int {
	if c.answer.Status != http.StatusOK {
		return c.lastEvent
	}
	return c.lastEvent + strings.Count(c.answer.Body, "\n\n")
}

// takeUp continues a stream that broke off, at hosts drawn at random.
func (d *deployment) takeUp(ctx context.Context, c *call, random *rand.Rand, r *recorder) {
	began := c.id
	for n := 1; n <= maxTakeUps && ctx.Err() == nil; n++ {
		if c.kind != "full" || c.isCrasher || c.answer.Whole && c.answer.Status == http.StatusOK || c.wholeEvents() == 0 {
			return
		}
		h := d.hosts[random.IntN(len(d.hosts))]
		c = &call{id: fmt.Sprintf("%s-up%d", began, n), kind: c.kind, account: c.account, host: h, began: began, lastEvent: c.wholeEvents()}
		raw, err := net.DialTimeout("tcp4", d.callerTarget(h), time.Second)
		if err == nil {
			d.sendRequest(newConnection(raw), c)
			_ = raw.Close()
			r.add(c)
		}
		d.pause(time.Duration(random.Int64N(int64(2 * thinkTime))))
	}
}

// checkSoftware checks that all events of a stream, over all the tries of its caller,
// come from one software version.
func checkSoftware(calls []*call, report func(string, ...any)) {
	versions := map[string]string{}
	for _, c := range calls {
		if c.kind != "full" || c.answer.Status != http.StatusOK {
			continue
		}
		began := c.id
		if c.began != "" {
			began = c.began
		}
		for _, m := range marks.FindAllStringSubmatch(c.answer.Body, -1) {
			version := m[1]
			if version == "" {
				continue
			}
			if known, ok := versions[began]; ok && known != version {
				report("stream %s holds events of the software versions %s and %s (call %s)", began, known, version, c.id)
				return
			}
			versions[began] = version
		}
	}
}
