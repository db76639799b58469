#!/bin/sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xss512k -Xshare:auto -XX:+ExitOnOutOfMemoryError $CUMINRACK_JAVA_OPTS -jar "$0" "$@"
