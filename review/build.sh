#!/bin/sh
# Compiles the stand-ins and checks of the cases into target/review; run after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/src/*.java
