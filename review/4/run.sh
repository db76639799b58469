#!/bin/sh
# Plays the case; needs the deploy file's build and review/build.sh. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review PlannedStop review/4/record.txt
