#!/usr/bin/env bash
# Plays the case, with its disruption unless TROUBLE=0. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. What happened stands in record.txt beside this file.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case2 ] && [ -x target/bin/wrengate ] || exit 2
# At the limit all processes of the group end, also those that the case started.
timeout 100 target/review/case2 review/2/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
