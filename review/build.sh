#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. It needs Go alone.
cd "$(dirname "$0")" || exit 2
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -o bin/ ./...
