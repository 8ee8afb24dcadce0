#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. They are Python,
# so all that can be done ahead is to check that they compile.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
for file in lib/*.py [0-9]*/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
