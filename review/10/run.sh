#!/bin/sh
exec sh "$(dirname "$0")/../rig-2/run.sh" "$(dirname "$0")"
