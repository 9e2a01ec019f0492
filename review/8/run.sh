#!/bin/sh
# Plays the case of claim.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Needs the
# build of the deploy file and review/build-2.sh before.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/plumpost.jar ] || [ ! -f target/review-2/KeptFull.class ]; then
  echo "could not run: build first, by the line build of deploy/balancer.toml, then review/build-2.sh" | tee review/8/record.txt
  exit 2
fi
timeout -k 2 115 java -Xmx256m -cp target/review-2 KeptFull review/8
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
