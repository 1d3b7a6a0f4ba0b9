#!/usr/bin/env bash
# Builds the clients and stand-ins of the scripts into review/target, with the packages that the project has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/src/build.mjs
