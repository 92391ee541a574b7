#!/bin/sh
# The stand-ins are Python files that need only the programs' own libraries. This checks
# that they can be imported.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:." exec python3 -c "import review.fleet"
