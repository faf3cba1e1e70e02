#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python programs of
# the standard library only, so this just checks that they can run; Python is
# already needed by scripts/run. The proxy itself is target/tanager_edge, from
# the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - <<'EOF'
import pathlib
for path in ["stand_in_2/world.py", *sorted(pathlib.Path(".").glob("[0-9]*/case.py"))]:
    path = pathlib.Path(path)
    if path.parent.name in {"stand_in_2", "6", "7", "8", "9", "10"}:
        compile(path.read_text(), str(path), "exec")
EOF
test -x ../target/tanager_edge || { echo "build the deploy file first" >&2; exit 1; }
