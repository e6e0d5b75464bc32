#!/bin/sh
# Checks the stand-ins of the scripts in review/6 to review/10. They are plain
# Python without dependencies; nothing has to be fetched or generated.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
from pathlib import Path

for folder in ("rig_2", "6", "7", "8", "9", "10"):
    for path in sorted(Path("review", folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
test -d target/deps || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
PYTHONPATH=target/deps:src:platform PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import carawaystep_platform.start"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.rig_2.deployment"
