#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standins-2/src/*.java
