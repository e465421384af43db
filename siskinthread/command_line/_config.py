"""Commands that check, publish and show the configuration."""

import getpass
import json
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinthread.command_line._files import read_text
from siskinthread.configuration import digest_key, operators
from siskinthread.errors import SettingsError
from siskinthread.settings import load_section

DEFAULT_HISTORY = 20

_Files = Annotated[
    list[str],
    cappa.Arg(value_name="FILE", num_args=-1, required=True, help="JSON files."),
]
_Log = Annotated[
    str | None, cappa.Arg(long="--log", value_name="HOST:PORT", help="The log service.")
]
_SettingsFile = Annotated[
    str | None,
    cappa.Arg(
        long="--settings",
        value_name="FILE",
        help="Operators' settings: log, configuration_stream, answer_wait_s, "
        "deadline_s, publishing.",
    ),
]
_Json = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
_Replace = Annotated[
    bool,
    cappa.Arg(
        long="--replace",
        help="Remove what the files don't list, of the kinds that they do list.",
    ),
]


@cappa.command(name="check", help="Check files; with a log, against what it holds.")
@dataclass(slots=True)
class CheckCommand:
    """Check files."""

    files: _Files
    log: _Log = None
    settings: _SettingsFile = None
    replace: _Replace = False
    json: _Json = False

    def __call__(self):
        settings = None
        if self.log is not None or self.settings is not None:
            settings = load_operator_settings(self)
        report = operators.check_files(_read_files(self.files), settings, self.replace)
        return _print_report(report, self.json)


@cappa.command(name="diff", help="Show what publishing files would change.")
@dataclass(slots=True)
class DiffCommand:
    """Show what files would change."""

    files: _Files
    log: _Log = None
    settings: _SettingsFile = None
    replace: _Replace = False
    json: _Json = False

    def __call__(self):
        settings = load_operator_settings(self)
        report = operators.diff_files(_read_files(self.files), settings, self.replace)
        return _print_report(report, self.json)


@cappa.command(
    name="publish",
    help="Publish files.",
    description="Objects that the files list are added or replaced, those under "
    '"removed" are removed, all others stay. Exit codes: 0 accepted, 1 refused, 2 bad '
    "file, 3 lost to another change, 4 not known within the deadline; the same command "
    "can be run again and never publishes twice.",
)
@dataclass(slots=True)
class PublishCommand:
    """Publish files."""

    files: _Files
    log: _Log = None
    settings: _SettingsFile = None
    replace: _Replace = False
    json: _Json = False
    id: Annotated[
        str | None,
        cappa.Arg(
            long="--id",
            help="Your name of this publication; at most one is accepted under it.",
        ),
    ] = None
    expect: Annotated[
        int | None,
        cappa.Arg(
            long="--expect",
            value_name="VERSION",
            help="Publish only upon this version.",
        ),
    ] = None
    author: Annotated[str | None, cappa.Arg(long="--author", help="Who.")] = None
    message: Annotated[str, cappa.Arg(long="--message", help="Why.")] = ""

    def __call__(self):
        settings = load_operator_settings(self)
        request = operators.PublishRequest(
            operators.read_files(_read_files(self.files)),
            self.replace,
            self.author or getpass.getuser(),
            self.message,
            self.id,
            self.expect,
        )
        return _print_report(operators.publish_files(settings, request), self.json)


@cappa.command(name="show", help="Show the published configuration.")
@dataclass(slots=True)
class ShowCommand:
    """Show the published configuration."""

    what: Annotated[
        str,
        cappa.Arg(value_name="KIND[/NAME]", help="One kind or object, as 'hosts/h1'."),
    ] = ""
    log: _Log = None
    settings: _SettingsFile = None
    json: _Json = False

    def __call__(self):
        kind, _, name = self.what.partition("/")
        if kind and kind not in operators.KINDS:
            raise cappa.Exit(f"{kind!r} is no kind of object", code=2)
        settings = load_operator_settings(self)
        return _print_report(
            operators.show_state(settings, kind or None, name or None), self.json
        )


@cappa.command(name="history", help="Show the records and what became of them.")
@dataclass(slots=True)
class HistoryCommand:
    """Show the records and what became of them."""

    log: _Log = None
    settings: _SettingsFile = None
    last: Annotated[
        int, cappa.Arg(long="--last", help="Number of records at most.")
    ] = DEFAULT_HISTORY
    id: Annotated[
        str | None, cappa.Arg(long="--id", help="Only records with this id.")
    ] = None
    json: _Json = False

    def __call__(self):
        settings = load_operator_settings(self)
        report = operators.show_history(settings, self.last, self.id)
        return _print_report(report, self.json)


@cappa.command(
    name="digest-key",
    help="Print the digest of a bearer key, read from standard input.",
)
@dataclass(slots=True)
class DigestKeyCommand:
    """Print the digest of a bearer key."""

    def __call__(self):
        # Read from standard input, as arguments are visible in process lists and shell
        # histories.
        key = sys.stdin.readline().rstrip("\r\n")
        if not key:
            raise cappa.Exit("standard input holds no key", code=2)
        print(digest_key(key))


@cappa.command(name="config", help="Check, publish and show the configuration.")
@dataclass(slots=True)
class ConfigCommand:
    """Check, publish and show the configuration."""

    command: cappa.Subcommands[
        CheckCommand
        | DiffCommand
        | PublishCommand
        | ShowCommand
        | HistoryCommand
        | DigestKeyCommand
    ]


def _read_files(file_names):
    return [(read_text(file_name), file_name) for file_name in file_names]


def load_operator_settings(command):
    if command.settings is not None:
        text, source_name = read_text(command.settings), command.settings
        settings = load_section(operators.OperatorSettings, text, source_name)
        if command.log is not None:
            settings.values["log"] = _log_settings(command.log).log
        return settings
    if command.log is None:
        raise cappa.Exit("give the log service with --log or --settings", code=2)
    return _log_settings(command.log)


def _log_settings(log):
    text = json.dumps({"log": log})
    try:
        return load_section(operators.OperatorSettings, text, "--log")
    except SettingsError as error:
        raise cappa.Exit(str(error), code=2) from error


def _print_report(report, as_json):
    print(report.render(as_json))
    return report.exit_code
