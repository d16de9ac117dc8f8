#!/usr/bin/env bash
# Runs the case after `bin/build-entry` and `review/build.sh`; exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. With TROUBLE=0 it does the same without the disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
[ -d target/review-standins ] && [ -d target/coriandersill-platform ] || exit 2
exec java -Xmx256m -cp target/review-standins "Case$(basename "$folder")" "$folder"
