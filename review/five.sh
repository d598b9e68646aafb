#!/bin/sh
# Run a case five times with its disruption and once without: sh review/five.sh N
cd "$(dirname "$0")/$1" || exit 2
for number in 1 2 3 4 5; do
    ./run.sh
    echo "run $number: exit $?"
done
TROUBLE=0 ./run.sh
echo "without the disruption: exit $?"
