package relayer

import (
	"context"
	"net/netip"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Pull returns the head of another VM's configuration, and its values after the position.
func (c *Client) Pull(ctx context.Context, from netip.AddrPort, since modeler.Position) (modeler.Position, []configurer.Value, error) {
	res, err := c.Peer(from).Pull(ctx, &messenger.PullRequest{Since: uint64(since.Revision), SinceEpoch: uint64(since.Epoch)})
	if err != nil {
		return modeler.Position{}, nil, err
	}
	head, values := valuesFromWire(res)
	return head, values, nil
}

func valuesToWire(head modeler.Position, values []configurer.Value) *messenger.PullResult {
	out := &messenger.PullResult{Head: uint64(head.Revision), Epoch: uint64(head.Epoch)}
	for _, v := range values {
		out.Values = append(out.Values, &messenger.Value{
			Key: v.Key, Revision: uint64(v.Position.Revision), Epoch: uint64(v.Position.Epoch), Text: v.Text,
		})
	}
	return out
}

func valuesFromWire(w *messenger.PullResult) (modeler.Position, []configurer.Value) {
	values := make([]configurer.Value, 0, len(w.GetValues()))
	for _, x := range w.GetValues() {
		position := modeler.Position{Epoch: modeler.Epoch(x.GetEpoch()), Revision: modeler.Revision(x.GetRevision())}
		values = append(values, configurer.Value{Key: x.GetKey(), Position: position, Text: x.GetText()})
	}
	return modeler.Position{Epoch: modeler.Epoch(w.GetEpoch()), Revision: modeler.Revision(w.GetHead())}, values
}
