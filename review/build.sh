#!/bin/sh
# The stand-ins of the cases are Python programs that use the standard
# library alone, so nothing is built. Checks that they compile, and that the
# build of the deploy file has been made.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || {
    echo "target/deps is missing: run the build of deploy/system.toml" >&2
    exit 2
}
for file in review/harness.py review/[0-9]*/case.py; do
    python3 -c 'import sys
name = sys.argv[1]
compile(open(name).read(), name, "exec")' "$file"
done
echo "the stand-ins are ready"
