package dgedge_test

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgpresence"
)

// FuzzGossip guards against datagrams that make the process panic or take its memory: a
// small one may decompress to a thousand times its size.
func FuzzGossip(f *testing.F) {
	f.Add(dgedge.Pack([]dgpresence.Heartbeat{{VM: "a", Boot: 1, Count: 2}}))
	for _, text := range []string{`{"Beats":null}`, `{"Beats":[{"VM":5}]}`, `{"Beats":[{"Boot":1e99}]}`, strings.Repeat("[", 100000), `{"Beats":[` + strings.Repeat(`{"VM":"x"},`, 200000)} {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			f.Fatal(err)
		}
		_, _ = w.Write([]byte(text))
		if err := w.Close(); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0})
	for kind := dgpresence.Beat; kind.Valid(); kind++ {
		f.Add(dgedge.EncodeShort(dgpresence.Message{Kind: kind, Count: 300, Hubs: []dgpresence.Brief{{Count: 7}, {Count: 8}}, Processes: []dgpresence.ProcessID{{1, 2, 3}}}))
	}
	f.Add([]byte{0x06, 1, 2, 3, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		const maxHeartbeats = 1 << 19 // "{}," takes at least two bytes of the 1 MB that are decompressed
		if n, err := dgedge.Unpack(datagram); err == nil && n > maxHeartbeats {
			t.Fatalf("%d heartbeats in %d bytes", n, len(datagram))
		}
	})
}
