#!/usr/bin/env bash
# A model server's answers have a sound head and a body without end. Exits with 1 if the gateway that gets one hangs.
# 0: the rule held, 2: the case couldn't run. With TROUBLE=0 everything runs but the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantspar ] && [ -x review/build/endless_body ] || exit 2
trouble=${TROUBLE:-1}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 review/build/endless_body "$folder" "$trouble"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
