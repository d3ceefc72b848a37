package gossiper

import (
	"fmt"
	"testing"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

// BenchmarkDigest measures encoding and decoding of a digest with demand on each
// pool, and reports the size of its frame.
func BenchmarkDigest(b *testing.B) {
	for _, pools := range []int{2, 5, 10} {
		b.Run(fmt.Sprint("pools=", pools), func(b *testing.B) {
			d := savoryloft.Digest{Sequence: 12345, Offset: 54321, ConfirmedAgo: 5e8}
			for i := range pools {
				d.Demands = append(d.Demands, savoryloft.PoolDemand{
					Pool: fmt.Sprint("pool-", i), Waiting: []int{0, 2, 9, 30}, Running: []int{9, 12, 8, 11}, Expected: []int{12, 15, 20, 41},
				})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := framer.Encode(&savoryloft.Frame{Digest: &d})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decodeFrame(data[framer.HeaderBytes:]); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
