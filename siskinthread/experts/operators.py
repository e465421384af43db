"""What ``siskinthread experts show`` builds on; daemons don't import it."""

import curio

from siskinthread.control.operators import ask_hosts
from siskinthread.errors import ProtocolError
from siskinthread.experts._order_frames import decode_map
from siskinthread.experts._report import ExpertsReport
from siskinthread.wire import ExpertsQuestion, Frame

__all__ = ["ExpertsReport", "survey"]

AGENT_ROLE = "agent"


def survey(settings, group=""):
    """Ask all agents; return the `ExpertsReport`.

    Parameters
    ----------
    settings : siskinthread.control.operators.StatusSettings
        Where to ask.
    group : str
        The one group to ask about; empty for all.

    Raises
    ------
    PlatformUnavailableError
        If the host list gave no answer.
    """
    return ExpertsReport(curio.run(survey_agents, settings, group), group)


async def survey_agents(settings, group=""):
    """Return the `HostAnswer` of each agent, by host; see `survey`."""
    question = Frame(experts_question=ExpertsQuestion(group))
    return await ask_hosts(settings, question, _take, role=AGENT_ROLE)


def _take(frame):
    status = frame.experts_status
    if status is None:
        return None
    if status.group is None or status.controls is None:
        raise ProtocolError("the answer holds no status")
    if status.expert_slots is not None:
        # Refuses what is no map, before the report cuts it into ranks.
        decode_map(status.expert_slots, status.version)
    return status
