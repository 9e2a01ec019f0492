#!/bin/sh
# Plays the case: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
# What was sent, answered and run goes to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
echo "case 2, TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
if [ ! -f target/plumpost.jar ] || [ ! -f review/tools/out/ScheduledOrder.class ]; then
  echo "could not run: build first, by the line build of deploy/balancer.toml, then review/build.sh" | tee -a "$record"
  exit 2
fi
exec java -Xmx1g -cp review/tools/out ScheduledOrder "$record"
