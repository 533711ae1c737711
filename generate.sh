#!/usr/bin/env bash
# Makes the node-to-node messages again after a .proto file was changed.
# Needs protoc, protoc-gen-go and protoc-gen-twirp on the PATH.
set -eu
cd "$(dirname "$0")"
for proto in internal/*/*.proto; do
  protoc --go_out=. --go_opt=module=fordseam --twirp_out=. --twirp_opt=module=fordseam "$proto"
done
