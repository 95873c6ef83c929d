#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. The programs of the deploy file are built by its own command.
set -e
cd "$(dirname "$0")/fleet3"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/fleet3 .
