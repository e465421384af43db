"""Entry side of the links to agents.

Interface that `siskinthread.dispatch` and `siskinthread.routing` use:

``AgentLinks(identity, settings, clock, metrics)``
    ``settings`` is a `PeerSettings`.

    - ``reconcile(addresses)``: dict of host name to `Address`; dials new hosts, drops
      the links of hosts that are gone once nothing is in flight on them.
    - ``status(host)``: a `LinkStatus` or None.
    - ``connected_hosts()``: names of hosts with a live link that are not leaving.
    - ``async start(host, start_request, deadline)``: sends a `StartRequest` (its
      ``attempt`` and ``window_bytes`` are filled in here) and returns an `Exchange`.
    - ``async wait_until_connected(deadline)``: True once a host may be sent new
      requests, False if the deadline passes before.
    - ``async run()``: runs until cancelled; one task for each agent.

``LinkStatus``: ``connected``, ``leaving``, ``load`` (`LoadReport` or None),
    ``load_received_at_s``, ``incarnation``, ``incarnations_seen``, ``services``,
    ``outstanding``.

``Exchange``: ``async next_event()`` returns `Head`, `Part` or `End`
    (`siskinthread.outcomes`), gapless and in order; bytes returned earlier are
    acknowledged when it is called again.  A lost link is replaced and the attempt
    resumed inside.  Past the deadline, or when the agent can't be reached before it,
    it returns `End`: ``UNKNOWN``, or ``REFUSED_NOT_RUN`` only if no byte of the start
    frame was written.  A request without a key that was not written is refused at the
    first failed dial, so that it can go elsewhere; one with a key waits for its home.
    ``async cancel()`` tells the agent that nothing more is wanted.
"""

from siskinthread.links._agent_links import AgentLinks
from siskinthread.links._exchange import Exchange
from siskinthread.links._status import LinkStatus

__all__ = ["AgentLinks", "Exchange", "LinkStatus"]
