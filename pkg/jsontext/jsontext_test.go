package jsontext_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/jsontext"
)

func TestJSONText(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jsontext suite")
}

// members returns the members of an object as alternating names and texts.
func members(text string) ([]string, error) {
	var visited []string
	err := jsontext.Members([]byte(text), func(name string, value []byte) error {
		visited = append(visited, name, string(value))
		return nil
	})
	return visited, err
}

// elements returns the texts of the elements of a list.
func elements(text string) ([]string, error) {
	var visited []string
	err := jsontext.Elements([]byte(text), func(position int, value []byte) error {
		Expect(position).To(Equal(len(visited)))
		visited = append(visited, string(value))
		return nil
	})
	return visited, err
}

var _ = Describe("JSON texts", func() {
	It("visits the members of an object", func() {
		Expect(members(" {\t\"a\" : 1 ,\n\"b\\u0041\":[{},\"]\"],\"c\":\"x\\\"}\", \"\" :{\"d\":null}}")).
			To(Equal([]string{"a", "1", "bA", "[{},\"]\"]", "c", "\"x\\\"}\"", "", "{\"d\":null}"}))
		Expect(members("{ }")).To(BeEmpty())
	})
	It("visits the elements of a list", func() {
		Expect(elements(" [ 1,\"a,b\" , [2,3],{\"x\":\"]\"} , true ]")).
			To(Equal([]string{"1", "\"a,b\"", "[2,3]", "{\"x\":\"]\"}", "true"}))
		Expect(elements("[ ]")).To(BeEmpty())
	})
	It("reports values of another type", func() {
		_, err := members("[]")
		Expect(err).To(MatchError(jsontext.ErrNotObject))
		_, err = elements("{}")
		Expect(err).To(MatchError(jsontext.ErrNotList))
	})
	It("stops at an error", func() {
		stop, visits := errors.New("enough"), 0
		visit := func() error { visits++; return stop }
		Expect(jsontext.Members([]byte(`{"a":1,"b":2}`), func(string, []byte) error { return visit() })).To(MatchError(stop))
		Expect(jsontext.Elements([]byte(`[1,2]`), func(int, []byte) error { return visit() })).To(MatchError(stop))
		Expect(visits).To(Equal(2))
	})
	DescribeTable("counts objects and elements",
		func(text string, objects, elements int) {
			Expect(jsontext.Count([]byte(text))).To(Equal(jsontext.Counts{Objects: objects, Elements: elements}))
		},
		Entry("a scalar", ` "[{,}]" `, 0, 0),
		Entry("an empty list", "[ ]", 0, 0),
		Entry("a list", "[1,\"a,b\", null]", 0, 3),
		Entry("nested lists", "[[],[1,2],[[3]]]", 0, 3+2+1+1),
		Entry("objects", `{"a":{"b":1,"c":[{},{"d":"},{"}]},"e":2}`, 4, 2),
	)
	It("reports the syntax error of encoding/json", func() {
		var syntax *json.SyntaxError
		Expect(errors.As(jsontext.Check([]byte(`{"a":}`)), &syntax)).To(BeTrue())
		Expect(jsontext.Check([]byte(`{"a":[1]} `))).To(Succeed())
		Expect(jsontext.Check([]byte(strings.Repeat("[", 1<<20)))).NotTo(Succeed())
	})
	It("copies nothing", func() {
		text := []byte(`{"routes":[` + strings.Repeat("{},", 1000) + "{}]}")
		Expect(testing.AllocsPerRun(10, func() { _ = jsontext.Count(text) })).To(BeNumerically("<=", 4))
	})
})

func FuzzWalk(f *testing.F) {
	for _, seed := range []string{`{"a":[1,{"b":"\""}],"c":{}}`, `[[],[[]],"x"]`, ` {"\u0041" : -1e5 } `, `"x"`, `[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if jsontext.Check(text) != nil {
			return
		}
		counts := jsontext.Counts{}
		walk(t, text, &counts)
		if counted := jsontext.Count(text); counted != counts {
			t.Fatalf("%q: counted %+v, visited %+v", text, counted, counts)
		}
	})
}

// walk visits a value and all below it, each of which must be valid.
func walk(t *testing.T, text []byte, counts *jsontext.Counts) {
	t.Helper()
	if err := jsontext.Check(text); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	err := jsontext.Elements(text, func(_ int, value []byte) error {
		counts.Elements++
		walk(t, value, counts)
		return nil
	})
	if err == nil {
		return
	}
	err = jsontext.Members(text, func(_ string, value []byte) error {
		walk(t, value, counts)
		return nil
	})
	if err == nil {
		counts.Objects++
	}
}
