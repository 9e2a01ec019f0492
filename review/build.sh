#!/bin/sh
# Builds the stand-ins of all cases. To be run from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf tools/out
mkdir -p tools/out
javac -nowarn -d tools/out tools/src/*.java
