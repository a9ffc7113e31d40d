package outbound

import (
	"bytes"
	"io"
	"net/http"
)

// singleUseBody is a request body that can be read once. Its type is unknown to
// net/http, which therefore cannot rewind it and cannot take it for an absent
// body.
type singleUseBody struct {
	reader *bytes.Reader
}

// Read implements io.Reader.
func (b *singleUseBody) Read(data []byte) (int, error) {
	return b.reader.Read(data)
}

// Close implements io.Closer.
func (b *singleUseBody) Close() error {
	return nil
}

var _ io.ReadCloser = (*singleUseBody)(nil)

// idempotencyHeaders are the headers by which net/http decides to send a
// request again.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// preventRetries leaves the transport no way to send the request
// twice.
func preventRetries(request *http.Request, body []byte) {
	request.Body = &singleUseBody{reader: bytes.NewReader(body)}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	for _, name := range idempotencyHeaders {
		request.Header.Del(name)
	}
}
