package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Complete says that the whole answer came.
	Complete bool
}

// Send sends one attempt of a request on a connection of its own.
func Send(record *Record, front *Machine, host, path, key, id string, header map[string]string, body string, deadline time.Duration) (Answer, error) {
	connection, err := net.DialTimeout("tcp", front.Front(), time.Second)
	if err != nil {
		record.Printf("client: %s: no connection to %s", id, front.Name)
		return Answer{}, err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	record.Printf("client: %s sent to %s: POST %s", id, front.Name, path)
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Ridgeswitch-Request-Id: %s\r\nX-Ridgeswitch-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		path, host, id, deadline.Milliseconds(), key)
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(connection, text); err != nil {
		return Answer{}, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		record.Printf("client: %s: no answer (%v)", id, err)
		return Answer{}, err
	}
	content, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Header: response.Header, Body: string(content), Complete: err == nil}
	record.Printf("client: %s gets %d, %d bytes, complete %t", id, answer.Status, len(answer.Body), answer.Complete)
	return answer, nil
}
