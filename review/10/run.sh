#!/bin/sh
# Plays the case of claim.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/Rig.class ] && [ -f target/plumpost.jar ] || exit 2
exec timeout -k 2 115 java -Xmx256m -cp target/review-2 GuardedWindow review/10
