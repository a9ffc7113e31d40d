package durable

import (
	"fmt"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// fill sets value, and every field and element in it, to something that is not zero.
func fill(value reflect.Value, path string) {
	switch value.Kind() {
	case reflect.Uint8, reflect.Uint64:
		value.SetUint(uint64(len(path)%200 + 1))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(path)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), path)
	case reflect.Slice:
		const elements = 2
		value.Set(reflect.MakeSlice(value.Type(), elements, elements))
		for i := range value.Len() {
			fill(value.Index(i), fmt.Sprint(path, i))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			fill(value.Field(i), path+"."+value.Type().Field(i).Name)
		}
	default:
		Fail("fill does not support the kind of " + path)
	}
}

var _ = Describe("The encoding", func() {
	It("keeps every field of every type", func() {
		var state replication.DurableState
		fill(reflect.ValueOf(&state).Elem(), "state")
		decoded, err := decode(encode(state))
		Expect(err).NotTo(HaveOccurred())
		Expect(*decoded.hardState).To(Equal(state.HardState))
		Expect(decoded.snapshot).To(Equal(state.Snapshot))
		Expect(decoded.entries).To(Equal(state.Entries))
	})

	It("covers every field of Ready that must be durable", func() {
		ready := reflect.TypeFor[replication.Ready]()
		var fields []string
		for i := range ready.NumField() {
			fields = append(fields, ready.Field(i).Name)
		}
		Expect(fields).To(ConsistOf("HardState", "Entries", "Snapshot", "Messages", "Committed", "Reads", "ReadsFailed"))
	})

	It("rejects data that it did not encode, and never panics", func() {
		var state replication.DurableState
		fill(reflect.ValueOf(&state).Elem(), "state")
		data := encode(state)
		for length := range data {
			_, _ = decode(data[:length])
		}
		_, err := decode(data[:len(identifier)])
		Expect(err).To(MatchError(errEncoding))
		_, err = decode([]byte("{\"term\": 3}"))
		Expect(err).To(MatchError(errEncoding))
	})
})
