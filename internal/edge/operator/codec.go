package operator

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
)

const (
	contentTypeHeader = "Content-Type"
	contentTypeJSON   = "application/json"
	retryAfterHeader  = "Retry-After"

	// uncountedBytes is the size of a response's message up to which its JSON is not charged.
	uncountedBytes = 64 << 10
	// encodingFactor is how many times the size of a message its JSON takes while it is built:
	// the text with and without spaces.
	encodingFactor = 4
)

// encode returns a message as compact JSON with the schema's field names, including fields with
// zero values, and a final line break. Compacting makes the layout stable, since protojson varies
// the spaces in its output.
func encode(message proto.Message) ([]byte, error) {
	options := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}
	data, err := options.Marshal(message)
	if err != nil {
		return nil, err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, err
	}
	compact.WriteByte('\n')
	return compact.Bytes(), nil
}

// writeMessage responds with a message. An error of writing the body is ignored, since the status
// line has been sent by then.
func writeMessage(w http.ResponseWriter, status int, message proto.Message) {
	data, err := encode(message)
	writeEncoded(w, status, data, err)
}

// writeCharged is writeMessage for a message that may be large. What its JSON takes until the client
// has read it is charged to the request.
func writeCharged(w http.ResponseWriter, r *http.Request, status int, message proto.Message) {
	size := proto.Size(message)
	if size <= uncountedBytes {
		writeMessage(w, status, message)
		return
	}
	var data []byte
	err := inbound.Parse(r, int64(size)*encodingFactor, func() error {
		var err error
		data, err = encode(message)
		return err
	})
	if errors.Is(err, inbound.ErrOverloaded) {
		writeRejection(w, rejectionOf(contentError(err)))
		return
	}
	writeEncoded(w, status, data, err)
}

// writeEncoded responds with the JSON of a message, or with the error of its encoding.
func writeEncoded(w http.ResponseWriter, status int, data []byte, err error) {
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"kind":"internal","message":"the answer can't be encoded; report this fault"}` + "\n")
	}
	w.Header().Set(contentTypeHeader, contentTypeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// writeRejection responds with a problem, and with Retry-After if the rejection has one.
func writeRejection(w http.ResponseWriter, rejected rejection) {
	if rejected.retryAfter > 0 {
		setRetryAfter(w, rejected.retryAfter)
	}
	writeMessage(w, rejected.status, rejected.problem)
}

// setRetryAfter sets Retry-After in whole seconds, rounded up.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	seconds := int(math.Ceil(after.Seconds()))
	w.Header().Set(retryAfterHeader, strconv.Itoa(seconds))
}

// writeProblem responds with a problem that the control interface itself detected.
func writeProblem(w http.ResponseWriter, problem *ridgeswitchv1.Problem) {
	writeRejection(w, rejectionFor(problem))
}
