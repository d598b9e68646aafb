#!/bin/sh
# Put the dependencies and the package under target/deps, which is on Python's path.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --requirement deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/ibiswick
cp -r src/ibiswick target/deps/ibiswick
python3 -m compileall -q target/deps
