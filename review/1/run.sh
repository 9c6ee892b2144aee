#!/usr/bin/env bash
# A model server's answer has a sound head and a body without end. Exits with 1 if the gateway that has it hangs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantspar ] && [ -x review/build/endless_body ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 review/build/endless_body "$folder"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
