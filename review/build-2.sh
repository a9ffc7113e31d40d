#!/bin/sh
# Builds the stand-ins of the second review. They use the standard library alone.
set -e
cd "$(dirname "$0")/.standins-2"
mkdir -p ../../target/review-2
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -o ../../target/review-2/standins .
