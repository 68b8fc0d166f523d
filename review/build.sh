#!/usr/bin/env bash
# The stand-ins need no build; checks that they compile and that the deploy
# file's build has run.
set -euo pipefail
cd "$(dirname "$0")"
for source in lib/*.py [1-5]/*.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
PYTHONPATH=../target/deps:.. python3 -B -c 'import nutmegspoke.cmd.entry_daemon'
