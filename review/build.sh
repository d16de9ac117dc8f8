#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts with the JDK's compiler, below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-standins
javac -nowarn -d target/review-standins review/standins/*.java
