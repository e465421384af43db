"""The gateway as a process of its own, with stand-ins as processes."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
HANG_S = 60.0
SETTINGS = """
node = "entry-1"
zone = "a"
ip = "127.0.0.1"
internal_ports = [{peer}, {peer}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
grace_s = 1
[platform]
address = "127.0.0.1:1"
parts = 8
"""


def run(arguments, **environment):
    """Start a Python process in the project's root."""
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        env=os.environ | environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def free_ports(count):
    """Return ports that are free at this moment."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def test_demo_requests_are_explained_by_the_log():
    """The demo's requests end as expected, and the log explains three of them."""
    process = run(["scripts/demo_gateway.py"])
    output, _ = process.communicate(timeout=HANG_S)
    assert process.returncode == 0, output
    assert "request demo-overloaded: refused_not_run, overloaded" in output
    assert "lost, the connection ended before the answer" in output


def read_until(process, events):
    """Return the output of a process until it has logged some events, or timed out."""
    output = ""
    hang = threading.Timer(HANG_S, process.kill)
    hang.start()
    while not all(event in output for event in events):
        line = process.stdout.readline()
        if not line:
            break
        output += line
    hang.cancel()
    return output


def test_settings_that_are_missing_end_the_process_with_a_message():
    """The message names the file that could not be read."""
    process = run(["-m", "siskinthread.platform"], SISKINTHREAD_BOOT="/no/such/file")
    output, _ = process.communicate(timeout=HANG_S)
    assert process.returncode == 1
    assert "settings can't be read" in output
    assert "/no/such/file" in output


def test_stop_and_reload_without_the_store(tmp_path):
    """The process starts without the store, reloads settings, and stops on SIGTERM."""
    front, ready, peer = free_ports(3)
    text = SETTINGS.format(front=front, ready=ready, peer=peer)
    path = tmp_path / "settings.toml"
    path.write_text(text)
    process = run(["-m", "siskinthread.platform"], SISKINTHREAD_BOOT=str(path))
    deadline_s = time.monotonic() + HANG_S
    while True:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", ready)) == 0:
                break
        assert time.monotonic() < deadline_s
        time.sleep(0.05)  # Wait until the process listens.
    path.write_text(text.replace("grace_s = 1", "grace_s = 2"))
    process.send_signal(signal.SIGHUP)
    output = read_until(process, ("dependency lost", "settings reloaded"))
    process.send_signal(signal.SIGTERM)
    rest, _ = process.communicate(timeout=HANG_S)
    output += rest
    assert process.returncode == 0, output
    events = ("started", "dependency lost", "settings reloaded", "stopped")
    assert all(event in output for event in events), output
