#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 it does the same without the disruption. Needs target/ of bin/build-entry and of
# review/build-2.sh.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
if [ ! -e "$root/target/review-2/Review.class" ] || [ ! -d "$root/target/coriandersill-platform" ]; then
  echo "run bin/build-entry and review/build-2.sh first" >&2
  exit 2
fi
# Ended early, the program still ends the entries that it started.
timeout -k 5 112 java -Xmx256m -cp "$root/target/review-2" Review truncated-stream "$root" "$folder" &
program=$!
trap 'kill "$program" 2>/dev/null' TERM INT HUP
wait "$program"
status=$?
case "$status" in
  0) exit 0 ;;
  11) exit 1 ;;
  *) wait "$program" 2>/dev/null; exit 2 ;;
esac
