#!/usr/bin/env bash
# Regenerates the committed protobuf code after a change to proto/laurelcroft.proto.
set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc --cpp_out=. laurelcroft.proto
