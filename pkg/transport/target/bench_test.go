package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// BenchmarkDo measures requests with bodies of 1 KiB in both directions on
// reused loopback connections.
func BenchmarkDo(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	text := strings.Repeat("b", 1024)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondToAll(c, text)
		}
	}()
	client := New(Config{MaxIdlePerTarget: 64, MaxConnsPerTarget: 64})
	defer client.Close()
	b.ReportAllocs()
	var sent atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := strconv.FormatInt(sent.Add(1), 10)
			if _, f := fetch(context.Background(), client, newPost(l.Addr().String(), id, text)); f != nil {
				b.Error(f)
				return
			}
		}
	})
}

func respondToAll(c net.Conn, text string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(c, echoResponse(req, text)); err != nil {
			return
		}
	}
}
