#!/usr/bin/env bash
# A server resets answers that end with their channel. Exits with 1 if a requester gets one as a complete success.
# 0: the rule held, 2: the case couldn't run. With TROUBLE=0 everything runs but the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantspar ] && [ -x review/build/reset_answer ] || exit 2
trouble=${TROUBLE:-1}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 review/build/reset_answer "$folder" "$trouble"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
