#!/usr/bin/env bash
# Runs the case after `bin/build-entry` and `review/build.sh`; exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. With TROUBLE=0 it does the same without the disruption.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")"
