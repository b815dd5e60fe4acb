#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python and use its standard
# library only, so they are compiled, which also shows that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review standins/platform_http.py standins/platform_store.py
