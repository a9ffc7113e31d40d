package docs_test

// maxExceptions is how many words there may be in exceptions.
const maxExceptions = 12

// exceptions are words in the style of code that are not the repository's, each with
// whose they are.
var exceptions = map[string]string{
	"fleetbench":      "the users' bench",
	"--day-cap 2000":  "a flag of the users' bench",
	"--no-cpu":        "a flag of the users' bench",
	"--quick":         "a flag of the users' bench",
	"--small --quick": "flags of the users' bench",
	"twice-KIND.toml": "a form of names in deploy/days",
	"binutils":        "a Debian package",
	"libgcc":          "a library of GCC",
	"linux-libc-dev":  "a Debian package",
	"crt1.o":          "a file of libc6-dev",
	"libc.so":         "a file of libc6-dev",
	"ld":              "the linker of binutils",
}
