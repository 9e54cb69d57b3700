package brvmlist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

// countingWriter is a response writer that counts the bytes of the body.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (c countingWriter) Write(body []byte) (int, error) {
	*c.bytes += len(body)
	return c.ResponseWriter.Write(body)
}

// BenchmarkList measures one read of the list, including the work of the server
// stand-in.
func BenchmarkList(b *testing.B) {
	for _, vms := range []int{100, 1000, 6400} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			entries := []brvmlist.Entry{}
			for i := range vms {
				entries = append(entries, brvmlist.NewEntry(fmt.Sprintf("domain-%02d-vm-%04d", i%47, i), "10.101.102.103:8443", false))
			}
			list := brplatform.NewVMList(brplatform.NewFaults())
			list.Set(entries)
			bytes := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				list.ServeHTTP(countingWriter{ResponseWriter: w, bytes: &bytes}, r)
			}))
			defer server.Close()
			client := brvmlist.NewClient(server.Client(), server.URL, time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				_, err := client.List(context.Background())
				require.NoError(b, err)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "list-B")
		})
	}
}
