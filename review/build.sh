#!/usr/bin/env bash
# The stand-ins of the cases are Python 3 scripts without packages, so there is
# nothing to compile: they are only checked here. The daemon itself is built by
# the build line of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in rig/rig.py */play.py extra/*/play.py; do
  [ -f "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
