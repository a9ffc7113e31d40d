#!/bin/sh
# Builds the stand-ins of the review's scripts, a module of their own, into target/review. It
# needs Go alone.
cd "$(dirname "$0")/.standins" || exit 2
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -o ../../target/review/ ./...
