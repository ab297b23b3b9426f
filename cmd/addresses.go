package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/gateway"
)

// callerFlags are the flags of commands that act as a caller.
type callerFlags struct {
	Host          string `default:"http://127.0.0.1:8080" env:"KUMQUATHOIST_CALLERS" help:"The base URL of any host's callers' address."`
	FailureDomain string `help:"The caller's failure domain; hosts there come first."`
	Output        string `default:"table" enum:"table,json" help:"How to print the answer: ${enum}."`
}

// addressesCommand queries a host for addresses.
type addressesCommand struct {
	callerFlags
}

// Help explains how callers use the addresses.
func (addressesCommand) Help() string {
	return "Callers connect to the first address, and to the next one if it does not answer. They query the addresses again when the cached answer expires."
}

// Run prints the addresses that callers should use.
func (c *addressesCommand) Run(ctx context.Context, o console) error {
	answer, err := c.fetchAddresses(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tHOST\tFAILURE DOMAIN")
	for _, a := range answer.Addresses {
		fmt.Fprintf(w, "%s\t%s\t%s\n", a.Address, a.Host, a.FailureDomain)
	}
	fmt.Fprintf(w, "\nKeep this answer for %d s.\n", answer.KeepSeconds)
	return w.Flush()
}

// fetchAddresses queries a host for the addresses to use.
func (f callerFlags) fetchAddresses(ctx context.Context) (gateway.AddressAnswer, error) {
	var answer gateway.AddressAnswer
	query := url.Values{"failure_domain": {f.FailureDomain}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.Host+"/v1/addresses?"+query.Encode(), nil)
	if err != nil {
		return answer, trace.BadParameter("%s is not a URL: %v", f.Host, err)
	}
	resp, err := newHTTPClient().Do(req)
	if err != nil {
		return answer, trace.Errorf("no answer from %s: %v", f.Host, err)
	}
	defer resp.Body.Close()
	raw, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err == nil {
		err = json.Unmarshal(raw, &answer)
	}
	if err != nil {
		return answer, trace.Errorf("decoding the addresses from %s: %v", f.Host, err)
	}
	return answer, nil
}
