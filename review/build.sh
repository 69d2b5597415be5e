#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The scripts of this folder start no compiled one:
# operators, servers and clients are parts of each script (Python 3, standard library only).
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import http.client, json, multiprocessing, socket, subprocess, sys
sys.exit(sys.version_info < (3, 8))'
