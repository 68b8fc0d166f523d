#!/bin/sh
# The stand-ins of the cases 6 to 10 need Python 3.11 or newer and nothing else.
# This checks that, and that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in part2lib/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
