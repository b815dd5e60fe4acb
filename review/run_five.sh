#!/bin/sh
# Runs a case's script five times without its disruption and five times with it.
cd "$(dirname "$0")/.." || exit 2
for run in 1 2 3 4 5; do
    TROUBLE=0 review/"$1"/run.sh
    echo "case $1 without the disruption, run $run: exit status $?"
done
for run in 1 2 3 4 5; do
    review/"$1"/run.sh
    echo "case $1 run $run: exit status $?"
    tail -n 6 review/"$1"/record.txt
done
