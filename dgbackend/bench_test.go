package dgbackend_test

import (
	"context"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgstandin"
)

// BenchmarkSend measures one request on an open connection. The figures include the
// stand-in backend server, which runs in the same process.
func BenchmarkSend(b *testing.B) {
	for _, bc := range []struct {
		name string
		ctx  func() (context.Context, context.CancelFunc)
	}{
		{"background", func() (context.Context, context.CancelFunc) { return context.Background(), func() {} }},
		{"cancellable", func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) }},
	} {
		b.Run(bc.name, func(b *testing.B) {
			srv, err := dgstandin.NewBackend(dgstandin.BackendOptions{Replica: dandeliongap.Replica{ID: "bench/0", Slots: 3, Connections: 30}})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = srv.Close() }()
			c := dgbackend.New(dgbackend.Options{})
			defer func() { _ = c.Close() }()
			ctx, cancel := bc.ctx()
			defer cancel()
			r := srv.Replica()
			req := &dandeliongap.BackendRequest{Body: []byte("ballast 40 mm"), Deadline: time.Now().Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				req.ID.Query++
				if a := c.Send(ctx, &r, req); a.Status != dandeliongap.SubAnswered {
					b.Fatalf("%v: %v", a.Status, a.Reason)
				}
			}
		})
	}
}
