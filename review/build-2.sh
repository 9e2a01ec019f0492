#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file. Needs javac 17 only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -encoding UTF-8 -d target/review-2 review/tools-2/*.java
