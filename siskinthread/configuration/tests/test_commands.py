"""Tests of the operators' commands, from files to exit codes."""

import io
import json

import cappa
import pytest

from siskinthread.command_line._config import ConfigCommand
from siskinthread.configuration import _operators, digest_key
from siskinthread.configuration.tests.fakes import body, FakeLog, host
from siskinthread.errors import DocumentError

FIRST = """{
  // two halls
  "hosts": [
    {"name": "h1", "labels": {"hall": "breidholt"}},
    {"name": "h2", "labels": {"hall": "grafarvogur"}},
  ],
  "services": [{"name": "rounds-app", "kind": "plain", "labels": {"app": "rounds"}}],
  "placements": [{"name": "p", "services": "app=rounds", "hosts": "hall"}],
}"""


@pytest.fixture
def log(monkeypatch):
    fake = FakeLog()

    async def close():
        pass

    fake.close = close
    monkeypatch.setattr(_operators, "LogClient", lambda settings: fake)
    return fake


@pytest.fixture
def config(tmp_path, capsys):
    """Return a function that runs ``config`` on file texts.

    It returns the exit code and the parsed JSON output.
    """

    def run(command, *texts, options=(), log=True):
        files = []
        for index, text in enumerate(texts):
            path = tmp_path / f"{index}.json"
            path.write_text(text)
            files.append(str(path))
        options = [*options, "--log", "127.0.0.1:1"] if log else options
        argv = [command, *files, *options, "--json"]
        code = cappa.invoke(ConfigCommand, argv=argv)
        return code, json.loads(capsys.readouterr().out)

    return run


def test_check_reports_all_problems_with_their_places(config):
    """All invalid fields are reported at once, with line and column."""
    text = """{
"hosts": [{"name": "a b"}, {"name": "c", "labels": {"k": 1}}, {"name": "d"}],
"policies": [{"name": "q", "accounts": "x in (", "services": "", "prio": 0}],
"removed": ["hosts/d", "host/x"],
"host": []}"""
    code, plain = config("check", text, '{"hosts": {}, "hosts": []}', log=False)
    found = [(item["line"], item["column"]) for item in plain["problems"]]
    assert code == 2
    assert found[:4] == [(2, 20), (2, 58), (3, 14), (3, 14)]
    assert found[4:8] == [(3, 40), (3, 74), (4, 13), (4, 24)]
    assert found[8:] == [(5, 9), (1, 15)]


def test_check_finds_what_does_not_fit_together(config, log):
    """Objects are checked against each other and, given a log, against its state."""
    group = '{"groups": [{"name": "g", "service": "llm", "hosts": "hall=x"}]}'
    llm = '{"services": [{"name": "llm", "kind": "engine", "models": ["m"]}]}'
    duplicate_model = '{"services": [{"name": "n", "kind": "engine", "models": ["m"]}]}'
    assert config("check", group, log=False)[0] == 2
    code, plain = config("check", group, llm, log=False)
    assert code == 0
    assert "matches none of the hosts" in plain["warnings"][0]["message"]
    assert config("publish", llm)[0] == 0
    assert config("check", group)[0] == 0
    with pytest.raises(DocumentError, match="'llm' too|'n' too"):
        config("publish", duplicate_model)


def test_publish_again_after_success_publishes_nothing(config, log):
    """Repeating a command doesn't create a second version."""
    assert config("publish", FIRST)[1]["outcome"] == "accepted"
    code, plain = config("publish", FIRST)
    assert (code, plain["outcome"], plain["version"]) == (0, "in_force", 0)
    assert log.next_offset == 1


def test_rerun_after_a_crash_does_not_undo_a_newer_change(config, log):
    """Guards against an overwritten change that takes effect again.

    An operator publishes and loses the terminal, another operator changes the same
    object, and the first operator repeats the command.
    """
    for options in ([], ["--id", "move-7"]):
        name = f"h{len(options)}"
        mine = json.dumps({"hosts": [{"name": name, "labels": {"by": "me"}}]})
        other = mine.replace('me"}', 'you"}')
        assert config("publish", mine, options=options)[0] == 0
        version = log.next_offset - 1
        assert config("publish", other)[0] == 0
        code, plain = config("publish", mine, options=options)
        assert log.next_offset == version + 2
        if options:
            assert (code, plain["version"]) == (0, version)
        else:
            assert (code, plain["outcome"]) == (3, "superseded")


def test_name_used_for_other_content_is_refused(config, log):
    """A name can't be reused for a publication with other content."""
    options = ["--id", "move-7"]
    assert config("publish", FIRST, options=options)[0] == 0
    other = FIRST.replace("breidholt", "hafnarfjordur")
    assert config("publish", other, options=options)[0] == 1


def test_conflict_and_unknown_have_their_exit_codes(config, log, tmp_path):
    """3 if another change was accepted first; 4 if the log didn't answer in time."""
    log.put(body("r0", -1, [host("h1")], author="bo"))
    code, plain = config("publish", FIRST, options=["--expect", "-1"])
    assert (code, plain["author"]) == (3, "bo")
    log.down = True
    settings_path = tmp_path / "settings.json"
    settings_path.write_text('{"log": "127.0.0.1:1", "deadline_s": 0.05}')
    options = ["--settings", str(settings_path)]
    code, plain = config("publish", FIRST, options=options)
    assert code == 4


def test_diff_replace_and_removed(config, log):
    """Unlisted objects are kept, unless ``--replace`` is given for listed kinds."""
    assert config("publish", FIRST)[0] == 0
    one = '{"hosts": [{"name": "h1", "labels": {}}], "removed": ["hosts/h2"]}'
    plain = config("diff", one)[1]
    assert plain["replaced"]["hosts/h1"]["labels"]["new"] == {}
    assert plain["removed"] == ["hosts/h2"]
    assert "homes of rounds-app change" in plain["warnings"][0]
    assert config("diff", '{"hosts": []}')[1]["removed"] == []
    plain = config("diff", '{"hosts": []}', options=["--replace"])[1]
    assert plain["removed"] == ["hosts/h1", "hosts/h2"]


def test_show_and_history(config, log):
    """``show`` prints the state in force, ``history`` the verdict on each record."""
    log.put(b"junk")
    assert config("publish", FIRST, options=["--author", "eva"])[0] == 0
    code, plain = config("show", options=["hosts/h1"])
    assert plain["objects"]["hosts"][0]["labels"] == {"hall": "breidholt"}
    assert config("show", options=["hosts/h9"])[0] == 1
    statuses = [item["status"] for item in config("history")[1]["records"]]
    assert statuses == ["invalid", "accepted"]


def test_digest_key_reads_the_key_from_standard_input(capsys, monkeypatch):
    """The key is read from standard input and never passed as an argument."""
    monkeypatch.setattr("sys.stdin", io.StringIO("secret\n"))
    assert cappa.invoke(ConfigCommand, argv=["digest-key"]) is None
    assert capsys.readouterr().out.strip() == digest_key("secret")
