package outbound

import (
	"bytes"
	"io"
	"net/http"
)

// singleUseBody is a request body that can be read once. Because net/http does not know its
// type, it can neither rewind the body nor treat an empty one as absent.
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

// idempotencyHeaders are the headers that make net/http treat a request as safe to retry.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// preventRetries sets the request's body and removes its idempotency headers, so that the
// transport cannot send the request twice.
func preventRetries(request *http.Request, body []byte) {
	request.Body = &singleUseBody{reader: bytes.NewReader(body)}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	for _, name := range idempotencyHeaders {
		request.Header.Del(name)
	}
}
