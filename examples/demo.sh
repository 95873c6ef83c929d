#!/usr/bin/env bash
# Starts the demo deployment on loopback and runs the main job.
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/clementineyard-loader demo --example examples/atlas-foulee
