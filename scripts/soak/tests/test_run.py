"""A short run with real processes."""

import json
import subprocess
import sys

from scripts._processes import ROOT

SECONDS = "3"
RUN_LIMIT_S = 60.0


def test_short_seeded_run_keeps_every_promise():
    """Two gateways and two servers run through a few faults without a violation."""
    command = [sys.executable, "-m", "scripts.soak", "--seed", "3"]
    command += ["--seconds", SECONDS, "--gateways", "2", "--servers", "2"]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_LIMIT_S
    )
    assert done.returncode == 0, done.stdout + done.stderr
    line = json.loads(done.stdout.splitlines()[0])
    assert line["broken"] == 0
    assert line["served"] > 0
