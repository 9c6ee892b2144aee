#!/usr/bin/env bash
# A server resets an answer that ends with its channel. Exits with 1 if a requester gets it as a complete success.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantspar ] && [ -x review/build/reset_answer ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 review/build/reset_answer "$folder"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
