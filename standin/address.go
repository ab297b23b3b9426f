package standin

import "net"

// UnusedAddresses returns addresses at an IP on which nothing listens. They differ from each
// other. Another process may take one before it is used: whoever can't bind it chooses anew.
func UnusedAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // until all are chosen
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
