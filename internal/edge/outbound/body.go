package outbound

import (
	"bytes"
	"io"
	"net/http"
)

// onceBody is a request body that can be read once. Its type is unknown to
// net/http, which therefore cannot rewind it and cannot take it for an absent
// body.
type onceBody struct {
	reader *bytes.Reader
}

// Read implements io.Reader.
func (b *onceBody) Read(data []byte) (int, error) {
	return b.reader.Read(data)
}

// Close implements io.Closer.
func (b *onceBody) Close() error {
	return nil
}

var _ io.ReadCloser = (*onceBody)(nil)

// permissionHeaders are the headers by which net/http takes leave to send a
// request again.
var permissionHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// makeUnrepeatable takes from the transport every way to send the request
// twice.
func makeUnrepeatable(request *http.Request, body []byte) {
	request.Body = &onceBody{reader: bytes.NewReader(body)}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	for _, name := range permissionHeaders {
		request.Header.Del(name)
	}
}
