// Package jsontext walks JSON texts in place: it visits the members of an object or the elements of
// a list as parts of the text, without copying them, and it counts what a text consists of before
// anything is built of it. So a text that is small, but would take much memory once it is parsed,
// can be refused at no cost.
//
// All functions but Check take the text of one valid JSON value. The package holds no state.
package jsontext
