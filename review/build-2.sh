#!/bin/sh
# Checks the stand-ins of cases 7 to 10; they need Python 3.11 and nothing else.
set -eu
cd "$(dirname "$0")"
exec python3 -m py_compile site2.py */case.py
