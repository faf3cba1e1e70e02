#!/bin/sh
# The stand-ins are Python programs without dependencies: nothing is compiled.
command -v python3 >/dev/null || { echo "the stand-ins need python3"; exit 1; }
python3 -m py_compile "$(dirname "$0")"/stand_in/stand_in.py "$(dirname "$0")"/*/case.py && rm -rf "$(dirname "$0")"/stand_in/__pycache__ "$(dirname "$0")"/*/__pycache__
