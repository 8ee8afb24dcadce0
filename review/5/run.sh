#!/bin/sh
# Plays the case of this folder: exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Writes record.txt here.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B "$(dirname "$0" | sed 's|^.*review/|review/|')/case.py"
