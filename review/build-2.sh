#!/bin/sh
# Builds what the cases 4 to 6 start beside the system itself; after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. python3 -m compileall -q review/standins review/standins_2 review/standins_3 review/4 review/5 review/6
