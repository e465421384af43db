"""Survey for ``siskinthread experts show``; not imported by the daemons."""

import curio

from siskinthread.control.operators import ask_hosts
from siskinthread.errors import ProtocolError
from siskinthread.experts._order_frames import decode_map
from siskinthread.experts._report import ExpertsReport
from siskinthread.wire import ExpertsQuestion, Frame

__all__ = ["ExpertsReport", "survey"]

AGENT_ROLE = "agent"


def survey(settings, group=""):
    """Query all agents and return the `ExpertsReport`.

    Parameters
    ----------
    settings : siskinthread.control.operators.StatusSettings
        Address of the host list, keys and time limits.
    group : str
        Group to which the query is limited; empty for all.

    Raises
    ------
    PlatformUnavailableError
        If the host list gave no answer.
    """
    return ExpertsReport(curio.run(survey_agents, settings, group), group)


async def survey_agents(settings, group=""):
    """Query all agents and return a `HostAnswer` for each; see `survey`."""
    question = Frame(experts_question=ExpertsQuestion(group))
    return await ask_hosts(settings, question, _read_status, role=AGENT_ROLE)


def _read_status(frame):
    status = frame.experts_status
    if status is None:
        return None
    if status.group is None or status.controls is None:
        raise ProtocolError("the answer holds no status")
    if status.expert_slots is not None:
        # Reject an invalid map before the report splits it into ranks.
        decode_map(status.expert_slots, status.version)
    return status
