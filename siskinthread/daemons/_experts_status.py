"""An agent's answer to operators who ask about expert maps."""

from siskinthread.experts import encode_map
from siskinthread.wire import ExpertsStatus


def no_group_status(host):
    """Return the `ExpertsStatus` of a host that has no rank of the group asked about.

    Parameters
    ----------
    host : str
        Name of the host.
    """
    return ExpertsStatus(group="", host=host, controls=False)


def group_status(group, identity, owner, controller):
    """Return the `ExpertsStatus` of a host with a rank.

    Parameters
    ----------
    group : str
        Group of the rank.
    identity : siskinthread.wire.Identity
        This process.
    owner : siskinthread.ownership.Owner or None
        Owner of the group as far as this host knows.
    controller : siskinthread.experts.Controller
        This host's controller of the group, whether it acts or not.

    Notes
    -----
    A host that lost the group says nothing of what its controller held: it would be
    the state at the time of the loss, shown as if it were present.
    """
    status = ExpertsStatus(group=group, host=identity.host, controls=False)
    if owner is None:
        return status
    status.fencing = owner.fencing
    status.controls = owner.incarnation == identity.incarnation
    if status.controls:
        _add_map(status, controller)
        _add_plan(status, controller)
    return status


def _add_map(status, controller):
    expert_map = controller.expert_map
    if expert_map is not None:
        status.version = expert_map.version
        status.expert_slots = encode_map(expert_map)
    status.changed_at_ms = controller.changed_at_ms
    status.result = controller.result


def _add_plan(status, controller):
    plan = controller.last_plan
    status.skew = controller.skew
    status.pending_moves = controller.pending_moves
    status.verdict = controller.skip_reason
    if plan is not None:
        status.skew_before = float(plan.skew_before)
        status.skew_after = float(plan.skew_after)
        status.verdict = controller.skip_reason or plan.verdict
