package eventstream_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/eventstream"
)

const maxBytes = 1 << 10

// readEvents returns the texts of all events of a stream, and the error at its end.
func readEvents(source io.Reader) ([]string, error) {
	reader := eventstream.NewReader(source, maxBytes)
	var texts []string
	for {
		event, err := reader.Next()
		if err != nil {
			return texts, err
		}
		texts = append(texts, string(event.Text))
	}
}

var _ = Describe("Reader", func() {
	DescribeTable("returns complete events, however their bytes arrive", func(stream string, expected []string, end error) {
		for _, source := range []io.Reader{
			strings.NewReader(stream),
			iotest.OneByteReader(strings.NewReader(stream)),
			iotest.DataErrReader(strings.NewReader(stream)),
		} {
			events, err := readEvents(source)
			Expect(events).To(Equal(expected))
			Expect(err).To(BeIdenticalTo(end))
		}
	},
		Entry("nothing", "", nil, io.EOF),
		Entry("ended by LF", "data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, io.EOF),
		Entry("ended by CRLF", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}, io.EOF),
		Entry("of several lines", "id: 1\ndata: a\ndata: b\n\n", []string{"id: 1\ndata: a\ndata: b\n\n"}, io.EOF),
		Entry("and blank lines between them", "\n\r\ndata: a\n\n\n\r\ndata: b\n\n", []string{"\n", "\r\n", "data: a\n\n", "\n", "\r\n", "data: b\n\n"}, io.EOF),
		Entry("and comments", ": hello\n\ndata: a\n\n:\r\n\r\n", []string{": hello\n\n", "data: a\n\n", ":\r\n\r\n"}, io.EOF),
		Entry("with the comments within them", ": hello\ndata: a\n\n", []string{": hello\ndata: a\n\n"}, io.EOF),
		Entry("before an incomplete event", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF),
		Entry("before an incomplete blank line", "data: a\n\ndata: b\r\n\r", []string{"data: a\n\n"}, io.ErrUnexpectedEOF),
	)

	DescribeTable("rejects what parsers read in different ways", func(text string) {
		events, err := readEvents(iotest.OneByteReader(strings.NewReader("data: a\n\n" + text + "data: b\n\n")))
		Expect(events).To(Equal([]string{"data: a\n\n"}))
		var malformed *eventstream.FormatError
		Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
		Expect(malformed.Text).NotTo(BeEmpty())
		Expect(err.Error()).NotTo(ContainSubstring(text), "the message holds nothing that was generated")
	},
		Entry("lines that end with CR alone", "data: x\rdata: y\n\n"),
		Entry("a blank line of CR alone", "data: x\r\rdata: y\n\n"),
		Entry("bytes that are not UTF-8", "data: \xff\xfe\n\n"),
	)

	It("splits events into fields", func() {
		reader := eventstream.NewReader(strings.NewReader("id:1\nid\ndata:  a: b\n: comment\nother: x\r\n\n"), maxBytes)
		event, err := reader.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(event.Fields).To(Equal([]eventstream.Field{
			{Name: []byte("id"), Value: []byte("1")},
			{Name: []byte("id")},
			{Name: []byte("data"), Value: []byte(" a: b")},
			{Name: []byte("other"), Value: []byte("x")},
		}))
	})

	It("returns the events that have been read without reading any more", func() {
		source := io.MultiReader(strings.NewReader("data: a\n\n: x\n\ndata: b\n\n\n\nda"), iotest.ErrReader(errors.New("was read")))
		reader := eventstream.NewReader(source, maxBytes)
		first, err := reader.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first.Text)).To(Equal("data: a\n\n"))
		for _, expected := range []string{": x\n\n", "data: b\n\n", "\n", "\n"} {
			event, found, err := reader.NextBuffered()
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(BeTrue())
			Expect(string(event.Text)).To(Equal(expected))
		}
		_, found, err := reader.NextBuffered()
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
		_, err = reader.Next()
		Expect(err).To(MatchError("was read"))
	})

	DescribeTable("tells whether anything follows an event", func(source io.Reader, atEnd bool) {
		reader := eventstream.NewReader(source, maxBytes)
		_, err := reader.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.AtEnd()).To(Equal(atEnd))
	},
		Entry("the end", strings.NewReader("data: a\n\n"), true),
		Entry("an error", io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(io.ErrUnexpectedEOF)), true),
		Entry("a blank line", strings.NewReader("data: a\n\n\n"), false),
		Entry("a byte that comes later", iotest.OneByteReader(strings.NewReader("data: a\n\nx")), false),
	)

	It("rejects an event that is too long", func() {
		_, err := readEvents(strings.NewReader(strings.Repeat("x", 3*maxBytes)))
		var long *eventstream.TooLongError
		Expect(errors.As(err, &long)).To(BeTrue(), "%v", err)
	})
})

// FuzzReader checks that the events of a stream do not depend on how its bytes arrive, and that they are
// the stream up to its end or its fault.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add(": comment\r\n\r\n\ndata: b\r\n\ndata: c\rd\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		whole, wholeError := readEvents(strings.NewReader(stream))
		single, singleError := readEvents(iotest.OneByteReader(strings.NewReader(stream)))
		if strings.Join(whole, "|") != strings.Join(single, "|") && len(stream) <= maxBytes {
			t.Fatalf("%q and %q", whole, single)
		}
		if errors.Is(wholeError, io.EOF) != errors.Is(singleError, io.EOF) && len(stream) <= maxBytes {
			t.Fatalf("%v and %v", wholeError, singleError)
		}
		if joined := strings.Join(whole, ""); !strings.HasPrefix(stream, joined) || errors.Is(wholeError, io.EOF) && stream != joined {
			t.Fatalf("%q of %q", whole, stream)
		}
	})
}
