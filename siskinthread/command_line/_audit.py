"""Command that shows the audit trail."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinthread.audit import AuditQuery, Kind, parse_since, read_trail
from siskinthread.command_line._config import load_operator_settings
from siskinthread.command_line._output import print_text
from siskinthread.timing import SYSTEM_CLOCK


@cappa.command(
    name="audit",
    help="Show who changed what: configuration, owners, expert maps.",
    description="Oldest first: time, kind, offset, outcome, who, from -> to, what.",
)
@dataclass(slots=True)
class AuditCommand:
    """Show the audit trail."""

    since: Annotated[
        str | None,
        cappa.Arg(long="--since", help="An age such as 12h or 7d, or a UTC time."),
    ] = None
    kind: Annotated[
        list[Kind],
        cappa.Arg(long="--kind", help="Only this kind; may be given again."),
    ] = ()
    log: Annotated[
        str | None,
        cappa.Arg(long="--log", value_name="HOST:PORT", help="The log service."),
    ] = None
    settings: Annotated[
        str | None,
        cappa.Arg(long="--settings", value_name="FILE", help="Operators' settings."),
    ] = None
    audit_stream: Annotated[
        str, cappa.Arg(long="--audit-stream", help="Stream of the trail.")
    ] = "audit"
    ownership_stream: Annotated[
        str, cappa.Arg(long="--ownership-stream", help="Stream of the claims.")
    ] = "ownership"
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def __call__(self):
        since_ms = None
        if self.since is not None:
            try:
                since_ms = parse_since(self.since, SYSTEM_CLOCK.unix_ms())
            except ValueError as error:
                raise cappa.Exit(str(error), code=2) from error
        query = AuditQuery(
            since_ms, self.kind, self.audit_stream, self.ownership_stream
        )
        print_text(read_trail(load_operator_settings(self), query).render(self.json))
