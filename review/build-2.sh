#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 that are scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/src-2/review2/*.java
