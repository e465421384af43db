"""Complete sessions in the platform's protocol, compared byte by byte with files.

``python -m siskinthread.platform.tests.test_golden`` writes the files anew; the change
is then reviewed like any other.
"""

import re
import sys
from pathlib import Path

import curio
import pytest

from siskinthread.platform.tests.system import (
    body_of,
    ONCE_PATH,
    read_response,
    run_system,
    SAFE_PATH,
    STREAM_PATH,
)
from standins import platform_behaviours as faults

FOLDER = Path(__file__).parent / "golden"
# Values that differ between runs.
VARYING = (
    (re.compile(r"(?i)(x-deadline-ms: )\d+"), r"\1N"),
    (re.compile(r"(?i)(retry-after: )[\d.]+"), r"\1N"),
    (re.compile(r"(?i)(host: 127\.0\.0\.1:)\d+"), r"\1N"),
)
SESSIONS = {
    "answered": [(ONCE_PATH, faults.answer_whole), (SAFE_PATH, faults.answer_whole)],
    "denied": [("/nowhere/", None), (SAFE_PATH, faults.answer_whole)],
    "declined": [(ONCE_PATH, faults.decline)],
    "failed": [(ONCE_PATH, faults.fail)],
    "lost": [(ONCE_PATH, faults.lose_answer)],
    "streamed": [(STREAM_PATH, faults.stream(1, 3))],
    "broken_off": [(STREAM_PATH, faults.cut_unless_resumed)],
}


def play(name):
    """Return the text of a session: requests as the server saw them, and answers."""

    async def test(system):
        (server,) = system.servers
        client = await system.connect()
        lines = []
        for path, behaviour in SESSIONS[name]:
            server.behaviours.clear()
            if behaviour is not None:
                server.behaviours.extend([behaviour] * 2)
            server.seen.clear()
            await client.sendall(system.request_bytes(path, body=b"report"))
            response = await curio.timeout_after(5.0, read_response, client)
            lines += [_seen_text(seen) for seen in server.seen]
            lines.append(_text(response))
        await client.close()
        return "\n".join(lines)

    # One server, so that all requests go to the same one.
    text = run_system(test, server_count=1)
    for pattern, replacement in VARYING:
        text = pattern.sub(replacement, text)
    return text


def _seen_text(seen):
    headers = "\n".join(f"{name}: {value}" for name, value in seen.headers.items())
    return f"--> {seen.line}\n{headers}\n\n{seen.body.decode()}\n"


def _text(response):
    head, _, body = response.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        # The number of events in a chunk depends on the load of the machine.
        is_whole = body.endswith(b"0\r\n\r\n")
        body = body_of(response) + (b"(whole)\n" if is_whole else b"(broken off)\n")
    text = (head + b"\r\n\r\n" + body).decode().replace("\r\n", "\n")
    return f"<-- {text}"


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session_is_as_recorded(name):
    """No byte differs except for times."""
    assert play(name) == (FOLDER / f"{name}.txt").read_text()


def write():
    """Write the files anew."""
    FOLDER.mkdir(exist_ok=True)
    for name in SESSIONS:
        (FOLDER / f"{name}.txt").write_text(play(name))


if __name__ == "__main__":
    sys.exit(write())
