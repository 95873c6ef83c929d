#!/bin/bash
# Builds the stand-ins that the scripts of this review start.
cd "$(dirname "$0")/fleet2" || exit 1
GOWORK=off go build -o ../../target/fleet2 .
