#!/bin/bash
# Builds the stand-ins of the review's scripts. It needs the Go toolchain and
# nothing else; the product is built by the deploy file.
set -e
cd "$(dirname "$0")/harness"
CGO_ENABLED=0 GOTOOLCHAIN=local go build -o ../bin/harness .
