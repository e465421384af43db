"""Entry and agent daemons, assembled from the parts of the other packages.

``run_entry(settings)`` and ``run_agent(settings)`` run until a stop signal, drain and
return the exit status of the process.
"""

from siskinthread.daemons._agent import run_agent
from siskinthread.daemons._agent_settings import AgentSettings
from siskinthread.daemons._entry import run_entry
from siskinthread.daemons._entry_settings import EntrySettings

__all__ = ["AgentSettings", "EntrySettings", "run_agent", "run_entry"]
