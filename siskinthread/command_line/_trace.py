"""Command that finds the log lines of a request in log files."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinthread.command_line._files import read_text
from siskinthread.command_line._output import print_text
from siskinthread.tracing import find_request

NOT_FOUND = 1


@cappa.command(
    name="trace",
    help="Show what log files tell of a request.",
    description="Reads the structured log lines of gateways. Exit codes: 0 found, 1 no "
    "file has a line on the request, 2 wrong usage or a bad file.",
)
@dataclass(slots=True)
class TraceCommand:
    """Show what log files tell of a request."""

    request_id: Annotated[str, cappa.Arg(value_name="ID", help="Id of the request.")]
    files: Annotated[
        list[str],
        cappa.Arg(value_name="FILE", help="Log files, one of each process."),
    ]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def __call__(self):
        exit_code = NOT_FOUND
        for name in self.files:
            trace = find_request(read_text(name).splitlines(), self.request_id)
            if trace is None:
                continue
            exit_code = 0
            text = trace.as_json() if self.json else f"{name}:\n{trace.render()}"
            print_text(f"{text}\n")
        if exit_code == NOT_FOUND:
            print_text(f"no file has a line on request {self.request_id}\n")
        return exit_code
