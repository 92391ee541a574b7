#!/bin/sh
# Runs the case of a number. Exits with 1 if the rule is broken, 0 if it holds, and 2 if
# the case could not run, whatever the reason.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." timeout 115 python3 -m "review.$1.case" &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
code=$?
# A signal ends the wait; the case still ends its processes.
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=2
done
case $code in
0) exit 0 ;;
10) exit 1 ;; # what the case exits with if the rule is broken
*) exit 2 ;;
esac
