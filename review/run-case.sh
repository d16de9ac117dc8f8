#!/usr/bin/env bash
# Runs the case of the folder that is given and maps its end: 1 if the rule was broken, 0 if it held, 2 otherwise.
set -u
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.."
[ -f "target/review-standins/Case$(basename "$folder").class" ] && [ -d target/coriandersill-platform ] || exit 2
java -Xmx512m -cp target/review-standins "Case$(basename "$folder")" "$folder" &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
status=$?
trap - TERM INT HUP
wait "$pid" 2>/dev/null
case "$status" in
  40) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
