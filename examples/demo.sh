#!/usr/bin/env bash
# Runs the main job of both examples on loopback, each with six entry processes, one of which is killed midway.
set -euo pipefail
cd "$(dirname "$0")/.."
for example in examples/atlas-foulee examples/swan-valley; do
  bin/clementineyard-loader demo --example "$example"
done
