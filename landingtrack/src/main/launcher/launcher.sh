#!/bin/sh
exec java ${LANDINGTRACK_JAVA_OPTS:-} -jar "$0" "$@"
