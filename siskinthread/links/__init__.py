"""Entry side of the links to agents.

Interface that `siskinthread.dispatch` and `siskinthread.routing` use:

``AgentLinks(identity, settings, clock, metrics)``
    ``settings`` is a `PeerSettings`.

    - ``reconcile(addresses)``: dict of host name to `Address`; dials new hosts, and
      drops the links of removed hosts once nothing is in flight on them.
    - ``status(host)``: a `LinkStatus` or None.
    - ``connected_hosts()``: names of hosts with a live link that are not leaving.
    - ``async start(host, start_request, deadline)``: sends a `StartRequest` (its
      ``attempt`` and ``window_bytes`` are set here) and returns an `Exchange`.
    - ``async wait_until_connected(deadline)``: True once a host may be sent new
      requests, False if the deadline passes before that.
    - ``async run()``: runs until cancelled, with one task for each agent.

``LinkStatus``: ``connected``, ``leaving``, ``load`` (`LoadReport` or None),
    ``load_received_at_s``, ``incarnation``, ``incarnations_seen``, ``services``,
    ``outstanding``.

``Exchange``: ``async next_event()`` returns `Head`, `Part` or `End`
    (`siskinthread.outcomes`), without gaps and in order; bytes returned earlier are
    acknowledged at the next call.  A lost connection is replaced and the attempt
    resumed internally.  Past the deadline, or when the agent can't be reached before
    it, the method returns `End`: ``UNKNOWN``, or ``REFUSED_NOT_RUN`` only if no byte of
    the start frame was written.  A request without a key that was not written is
    refused at the first failed dial, so that it can be sent to another host; a request
    with a key waits for its home.  ``async cancel()`` cancels the attempt at the agent.
"""

from siskinthread.links._agent_links import AgentLinks
from siskinthread.links._exchange import Exchange
from siskinthread.links._status import LinkStatus

__all__ = ["AgentLinks", "Exchange", "LinkStatus"]
