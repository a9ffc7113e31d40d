package dataplane_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Connections that callers keep alive", func() {
	// sendUntilClosed sends requests on one connection, each after the response to the
	// previous one, until the connection ends. It returns the ID of the request that got no
	// response, if there is one.
	sendUntilClosed := func(address, name string, responded func()) string {
		connection, err := net.DialTimeout("tcp", address, waitTimeout)
		if err != nil {
			return name
		}
		defer func() { _ = connection.Close() }()
		_ = connection.SetDeadline(time.Now().Add(waitTimeout))
		reader := bufio.NewReader(connection)
		for number := 0; ; number++ {
			id := fmt.Sprintf("%s-%d", name, number)
			_, _ = io.WriteString(connection, promptHead("Request-Id: "+id, "Content-Length: 0"))
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return id
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
				return id
			}
			responded()
			if response.Close {
				return ""
			}
		}
	}

	It("end without the loss of a forwarded request's response when the node stops", func() {
		const rounds, connections = 10, 32
		for range rounds {
			backend := newReplica(respondWith("ok"))
			f := newFixture(backend.address())
			ended := make(chan error, 1)
			go func() { ended <- f.server.Start() }()
			<-f.server.Listening()
			var wait, warm sync.WaitGroup
			warm.Add(connections)
			lost := make(chan string, connections)
			for at := range connections {
				wait.Add(1)
				go func() {
					defer wait.Done()
					first := sync.OnceFunc(warm.Done)
					unanswered := sendUntilClosed(f.server.Address(), fmt.Sprint(at), first)
					first()
					lost <- unanswered
				}()
			}
			warm.Wait()
			Expect(f.server.Drain(context.Background())).To(Succeed())
			Expect(<-ended).NotTo(HaveOccurred())
			wait.Wait()
			close(lost)
			forwarded := map[string]bool{}
			for _, request := range backend.requests() {
				forwarded[request.Header.Get("Request-Id")] = true
			}
			for id := range lost {
				if id != "" {
					Expect(forwarded).NotTo(HaveKey(id))
				}
			}
		}
	})
})
