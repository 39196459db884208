package relayer

import (
	"context"
	"net/netip"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Pull returns what another VM has of the configuration after the position.
func (c *Client) Pull(ctx context.Context, from netip.AddrPort, since modeler.Position) (configurer.Delta, error) {
	res, err := c.Peer(from).Pull(ctx, &messenger.PullRequest{Since: uint64(since.Revision), SinceEpoch: uint64(since.Epoch)})
	if err != nil {
		return configurer.Delta{}, err
	}
	return deltaFromWire(res), nil
}

func deltaToWire(d configurer.Delta) *messenger.PullResult {
	out := &messenger.PullResult{Head: uint64(d.Head.Revision), Epoch: uint64(d.Head.Epoch), Whole: d.Whole}
	for _, v := range d.Values {
		out.Values = append(out.Values, &messenger.Value{
			Key: v.Key, Revision: uint64(v.Position.Revision), Epoch: uint64(v.Position.Epoch), Text: v.Text,
		})
	}
	return out
}

func deltaFromWire(w *messenger.PullResult) configurer.Delta {
	out := configurer.Delta{
		Head:   modeler.Position{Epoch: modeler.Epoch(w.GetEpoch()), Revision: modeler.Revision(w.GetHead())},
		Values: make([]configurer.Value, 0, len(w.GetValues())),
		Whole:  w.GetWhole(),
	}
	for _, x := range w.GetValues() {
		position := modeler.Position{Epoch: modeler.Epoch(x.GetEpoch()), Revision: modeler.Revision(x.GetRevision())}
		out.Values = append(out.Values, configurer.Value{Key: x.GetKey(), Position: position, Text: x.GetText()})
	}
	return out
}
