#!/bin/sh
# Check the stand-ins, which need only the standard library, and that the programs are built.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in review/mesh.py review/[1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
if [ ! -d target/deps/ibiswick ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
