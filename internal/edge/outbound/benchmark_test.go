package outbound_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// sender is the common interface of both clients.
type sender interface {
	Send(request *http.Request, body []byte) (*http.Response, error)
}

// benchmarkSender sends requests one after another, so that an idle connection can be reused.
func benchmarkSender(b *testing.B, client sender) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go respondToEveryRead(connection)
		}
	}()
	body := make([]byte, 1000)
	url := "http://" + listener.Addr().String() + "/v1/generate"
	b.ReportAllocs()
	for b.Loop() {
		request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
		request.Header.Set("Request-Id", "9c41d07be2a35f68")
		response, err := client.Send(request, body)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// respondToEveryRead sends a response after every read without parsing the request, so that the
// server adds little to the measured time.
func respondToEveryRead(connection net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
		if _, err := io.WriteString(connection, fullResponse); err != nil {
			return
		}
	}
}

func BenchmarkClient(b *testing.B) {
	benchmarkSender(b, outbound.New(outbound.Options{Name: "benchmark"}))
}

func BenchmarkDirect(b *testing.B) {
	benchmarkSender(b, outbound.NewDirect(outbound.DirectOptions{}))
}
