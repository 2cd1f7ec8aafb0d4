package commander

import (
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/requester"
)

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:  "entry",
		Usage: "`IP:PORT` of an entry; may be given several times, the next is tried when one does not answer",
	}
}

// entries returns a requester for the entries given by --entry; it fails with ErrUsage if there is none or an address is not IP:PORT.
func entries(cmd *cli.Command) (*requester.Requester, error) {
	addresses := cmd.StringSlice("entry")
	if len(addresses) == 0 {
		return nil, usagef("give --entry IP:PORT at least once")
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usagef("--entry %q is not IP:PORT", address)
		}
	}
	return requester.New(addresses)
}
