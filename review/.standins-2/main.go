// Command standins plays the users' side of a small deployment for the cases of the review:
// the platform's list, replicas, an operator and clients. It starts the system's own processes.
// Its argument names the case. It ends with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(trouble bool) bool{
	"version": versionCase,
	"revoke":  revokeCase,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil || os.Getenv("ROOT") == "" || os.Getenv("RECORD") == "" {
		fmt.Println("usage: ROOT=repository RECORD=file standins CASE")
		os.Exit(2)
	}
	if cases[os.Args[1]](os.Getenv("TROUBLE") != "0") {
		exit(1)
	}
	exit(0)
}
