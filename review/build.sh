#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -cp target/landingtrack.jar -d target/review $(find review -name '*.java')
