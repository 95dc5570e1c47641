#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] && [ -x target/release/dogwoodshore ] || exit 2
exec target/review-2/rig readers review/8
