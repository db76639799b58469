#!/bin/sh
# Builds the stand-ins of the cases 6, 8, 9 and 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/src-2/review2/*.java
