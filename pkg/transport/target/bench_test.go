package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkDo measures a request with a 1 KiB body and answer on a reused
// loopback connection.
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
			go answerAll(c, text)
		}
	}()
	client := New(Config{MaxIdlePerTarget: 64, MaxConnsPerTarget: 64})
	defer client.Close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, f := fetch(context.Background(), client, post(l.Addr().String(), "id", text)); f != nil {
				b.Error(f)
				return
			}
		}
	})
}

func answerAll(c net.Conn, text string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(c, reply(req, text)); err != nil {
			return
		}
	}
}
