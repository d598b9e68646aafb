#!/bin/sh
# Check the stand-ins of the second review, which need only the standard library, and that the
# programs are built.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in review/mesh2.py review/[6-9]/play.py review/10/play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
if [ ! -d target/deps/ibiswick ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
