"""Tests of the command line: invalid files, wrong usage and exit codes."""

import os
import sys
import types

import pytest

import siskinthread
from siskinthread.command_line import main
from siskinthread.errors import InvariantError, PlatformUnavailableError
from siskinthread.settings import Address, Item, Section


class FakeEntrySettings(Section):
    listen = Item(Address)
    link_limit = Item(int, default=1, minimum=1)


class FakeAgentSettings(Section):
    listen = Item(Address)
    targets_limit = Item(int, default=1)
    name = Item(str)


@pytest.fixture
def daemons(monkeypatch):
    """Stub of the daemons that records the settings of each start."""
    started = []
    stub = types.SimpleNamespace(
        EntrySettings=FakeEntrySettings,
        AgentSettings=FakeAgentSettings,
        run_entry=lambda settings: started.append(("entry", settings)),
        run_agent=lambda settings: started.append(("agent", settings)),
        started=started,
    )
    monkeypatch.setattr(siskinthread, "daemons", stub, raising=False)
    return stub


@pytest.fixture
def write(tmp_path, monkeypatch):
    """Function that writes a file in the working directory and returns its name."""
    monkeypatch.chdir(tmp_path)

    def write_file(content, name="file.json"):
        content = content.encode() if isinstance(content, str) else content
        (tmp_path / name).write_bytes(content)
        return name

    return write_file


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_daemon_gets_its_settings(daemons, write, role):
    """A valid file starts the daemon of the role with all its settings."""
    name = write(
        '{"listen": "127.0.0.1:80", %s}' % ("" if role == "entry" else "name: 'a'")
    )
    assert main([role, "--settings", name]) == 0
    ((started_role, settings),) = daemons.started
    assert started_role == role
    assert settings.listen == Address("127.0.0.1", 80)


def test_daemon_does_not_start_with_a_bad_file(daemons, write, capsys):
    """Each problem is one line on standard error, and no daemon starts."""
    name = write('{"listen": "here:80",\n "link_limt": 2,\n "link_limit": 0}')
    assert main(["entry", "--settings", name]) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err.splitlines() == [
        'file.json:1:12: listen: bad IP number "here"',
        'file.json:2:2: link_limt: unknown setting; did you mean "link_limit"?',
        "file.json:3:16: link_limit: under the minimum 1",
    ]
    assert daemons.started == []


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (b"{\n \"listen\": '\xff'}", "file.json:2:13: not in UTF-8"),
        (b"", "file.json:1:1: no JSON data found"),
        (b"\xff\xfe{\0}\0", "file.json:1:1: not in UTF-8"),
    ],
)
def test_unreadable_content_is_a_bad_file(daemons, write, capsys, content, expected):
    """A file that is not JSON in UTF-8 is rejected with the place of the error."""
    assert main(["settings", "check", write(content), "--role", "entry"]) == 2
    assert capsys.readouterr().err.splitlines() == [expected]


@pytest.mark.parametrize("name", ["absent.json", ".", "a\0b"])
def test_file_that_can_not_be_opened_is_a_bad_file(daemons, write, capsys, name):
    """A missing file, a directory or an invalid name gives one line, no traceback."""
    write("{}")
    assert main(["agent", "--settings", name]) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert ":1:1: can't read: " in line


def test_check_finds_the_role_that_fits(daemons, write, capsys):
    """Without a role, the problems for the best-fitting role are printed."""
    good = write('{"listen": "127.0.0.1:80", "name": "a"}', "good.json")
    assert main(["settings", "check", good]) == 0
    assert capsys.readouterr().out == "good.json: fine for the agent daemon\n"
    bad = write('{"listen": "127.0.0.1:80", "name": "a", "target_limit": 1}')
    assert main(["settings", "check", bad]) == 2
    assert capsys.readouterr().err.splitlines() == [
        'file.json:1:41: target_limit: unknown setting; did you mean "targets_limit"?'
    ]
    assert main(["settings", "check", good, "--role", "entry"]) == 2


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_shown_example_passes_the_check(write, capsys, role):
    """The example that ``settings show`` prints for a daemon passes the check."""
    assert main(["settings", "show", "--role", role]) == 0
    name = write(capsys.readouterr().out)
    assert main(["settings", "check", name, "--role", role]) == 0


def test_reader_that_ends_early_is_no_error(daemons, monkeypatch):
    """A reader that closes the pipe early does not cause a failure.

    Guards against a traceback after the output of ``settings show | head -1``: the
    reader ends, and the next write to the pipe fails.
    """
    read_end, write_end = os.pipe()
    os.close(read_end)
    with os.fdopen(write_end, "w") as output:
        monkeypatch.setattr(sys, "stdout", output)
        assert main(["settings", "show", "--role", "entry"]) == 0


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["bogus"],
        ["entry"],
        ["entry", "--settings"],
        ["settings"],
        ["settings", "check"],
        ["settings", "show", "--role", "other"],
        ["entry", "--settings", "a", "b"],
    ],
)
def test_wrong_usage_gives_code_2(daemons, capsys, arguments):
    """Wrong usage gives a message on standard error, and no daemon starts."""
    assert main(arguments) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err
    assert daemons.started == []


@pytest.mark.parametrize(
    "arguments", [[], ["entry"], ["agent"], ["settings"], ["settings", "check"]]
)
def test_help_is_no_error(capsys, arguments):
    """Every command prints its help to standard output."""
    assert main([*arguments, "--help"]) == 0
    output = capsys.readouterr()
    assert output.out.startswith("Usage: siskinthread")
    assert output.err == ""


def test_failure_of_a_command_gives_code_1(daemons, write, capsys):
    """An error with another cause than the file gives one line and code 1."""

    def run_entry(settings):
        raise PlatformUnavailableError("no answer from the log")

    daemons.run_entry = run_entry
    assert main(["entry", "--settings", write('{"listen": "127.0.0.1:80"}')]) == 1
    assert capsys.readouterr().err == "siskinthread: no answer from the log\n"


def test_broken_invariant_is_not_caught(daemons, write):
    """An `InvariantError` ends the process with its traceback."""

    def run_entry(settings):
        raise InvariantError("two owners")

    daemons.run_entry = run_entry
    with pytest.raises(InvariantError):
        main(["entry", "--settings", write('{"listen": "127.0.0.1:80"}')])


def test_host_settings_of_the_platform_are_checked(write, capsys):
    """Each problem of a settings file of the platform names its field."""
    name = write('node = "front-a-1"\nzone = 5\n', "host.toml")
    assert main(["settings", "check", "--host", name]) == 2
    error = capsys.readouterr().err
    assert "host.toml: zone has the value 5" in error
    assert "host.toml: platform.address is missing" in error


def test_trace_finds_a_request_or_says_that_it_does_not(write, capsys):
    """The exit code shows whether the request was found."""
    line = (
        '{"at":10.0,"event":"gateway: request ended","id":"id-1","route":"r",'
        '"service":"s","account":null,"version":1,"configuration_age_s":0.1,'
        '"status":200,"outcome":"answered","reason":"complete","took_s":0.1,'
        '"attempts":[]}'
    )
    name = write(line, "gateway.log")
    assert main(["trace", "id-1", name]) == 0
    assert "request id-1: answered, complete" in capsys.readouterr().out
    assert main(["trace", "id-2", name]) == 1
    assert "no file has a line on request id-2" in capsys.readouterr().out
