#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and later start. They are Python programs of
# review/harness, so nothing is compiled: this checks that the interpreter can load them.
set -euo pipefail
cd "$(dirname "$0")/harness"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import deployment, operator_calls, flows"
