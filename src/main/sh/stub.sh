#!/bin/sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xss512k -Xshare:auto $CUMINRACK_JAVA_OPTS -jar "$0" "$@"
