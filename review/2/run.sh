#!/usr/bin/env bash
# Needs the build of the deploy file and of review/build.sh. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
exec node review/target/brokenFraming.cjs review/2
