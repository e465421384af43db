"""Status of expert maps that an agent reports to operators."""

from siskinthread.experts import encode_map
from siskinthread.wire import ExpertsStatus


def no_group_status(host):
    """Return the `ExpertsStatus` of a host without a rank of the requested group.

    Parameters
    ----------
    host : str
        Name of the host.
    """
    return ExpertsStatus(group="", host=host, controls=False)


def group_status(group, identity, owner, controller):
    """Return the `ExpertsStatus` of a host with a rank of the group.

    Parameters
    ----------
    group : str
        Name of the model group.
    identity : siskinthread.wire.Identity
        Identity of this process.
    owner : siskinthread.ownership.Owner or None
        Owner of the group that this host knows of.
    controller : siskinthread.experts.Controller
        Controller of the group on this host, active or not.

    Notes
    -----
    A host that is no longer the owner leaves out the state of its controller, which is
    as old as the loss of the group and would be shown as the current state.
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
