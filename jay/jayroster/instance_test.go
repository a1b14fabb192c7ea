package jayroster_test

import (
	"fmt"
	"log/slog"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystore"
)

// peerAddress returns the address of the instance with a number in a stand-in network.
func peerAddress(n int) string {
	return fmt.Sprintf("10.0.0.%d:7000", n+1)
}

// startPeer starts the roster of the instance with a number on a host of a stand-in network. It also
// returns the record of the instance in the store's list.
func startPeer(n int, host *jaystandin.Host, listener net.Listener, source jayroster.Source, writer jaystore.Writer, changed func([]jaymember.Status, int)) (*jayroster.Roster, jaystore.Record) {
	return startIncarnation(n, fmt.Sprintf("%03d", n), host, listener, source, writer, changed)
}

// startIncarnation is startPeer for an incarnation.
func startIncarnation(n int, incarnation string, host *jaystandin.Host, listener net.Listener, source jayroster.Source, writer jaystore.Writer, changed func([]jaymember.Status, int)) (*jayroster.Roster, jaystore.Record) {
	address := peerAddress(n)
	self := jaymember.Member{Name: fmt.Sprint("i", n), Incarnation: incarnation, Address: address, Peer: address, Region: "r", Zone: "z", Config: -1}
	roster := jayroster.Start(jayroster.Options{
		Self: self, Source: source, Writer: writer, Key: []byte("0123456789abcdef"), Listener: listener, Log: slog.New(slog.DiscardHandler),
		Series: jaymetric.NewExposition(), Client: []jaypeer.ClientOption{jaypeer.WithDialer(host)}, Changed: changed,
	})
	value, _ := msgpack.Marshal(jaylist.Instance{
		Name: self.Name, Sort: jaylist.SortEntry, Incarnation: self.Incarnation, Address: self.Address, Peer: self.Peer,
		Region: self.Region, Zone: self.Zone, State: jaylist.StateLive,
	})
	return roster, jaystore.Record{Key: self.Name, Value: value, Position: jaystore.Position(n)}
}
