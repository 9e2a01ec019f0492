#!/bin/sh
# Plays the case: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/plumpost.jar ] || [ ! -f review/tools/out/Flood.class ]; then
  echo "build first: the line build of deploy/balancer.toml, then review/build.sh"
  exit 2
fi
exec java -Xmx1g -cp review/tools/out Flood review/3
