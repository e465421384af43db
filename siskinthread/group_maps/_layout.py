"""Expert maps: which rank holds which experts, and how even its load is."""

import math

from siskinthread.errors import InvariantError


class PassModel:
    """Model of the time of a pass with evenly loaded ranks.

    Parameters
    ----------
    expert_share : float
        Fraction of the work for a token that is done by experts.
    fixed_s : float
        Time of a pass without requests, seconds.
    request_s : float
        Additional time for each request of a rank, seconds.
    """

    __slots__ = ("expert_share", "fixed_s", "request_s")

    def __init__(self, expert_share, fixed_s, request_s):
        self.expert_share = expert_share
        self.fixed_s = fixed_s
        self.request_s = request_s

    def even_pass_s(self, running):
        """Return the time of a pass with `running` requests at each rank, seconds."""
        return self.fixed_s + self.request_s * running


class ExpertLayout:
    """Shape of the expert maps of a model service.

    Parameters
    ----------
    set_count : int
        Number of layer sets; each has its own experts.
    expert_count : int
        Number of experts of a set.
    place_count : int
        Largest number of experts of a set that a rank holds.
    spare_count : int
        Largest number of experts of a set that one change may add to a rank.
    model : PassModel
        Model of the pass time.
    copy_s : float
        Time of a rank to copy one expert, seconds.
    report_lag_s : float
        Age of a rank's report when it is received, seconds.
    pass_limit_s : float
        Longest pass with which streams are in time, seconds; infinite if there is no
        limit.
    """

    __slots__ = (
        "copy_s",
        "expert_count",
        "model",
        "pass_limit_s",
        "place_count",
        "report_lag_s",
        "set_count",
        "spare_count",
    )

    def __init__(
        self,
        set_count,
        expert_count,
        place_count,
        spare_count,
        model,
        copy_s,
        report_lag_s,
        pass_limit_s=math.inf,
    ):
        self.set_count = set_count
        self.expert_count = expert_count
        self.place_count = place_count
        self.spare_count = spare_count
        self.model = model
        self.copy_s = copy_s
        self.report_lag_s = report_lag_s
        self.pass_limit_s = pass_limit_s


class GroupMap:
    """An expert map of one group.

    Parameters
    ----------
    version : int
        Version of the map; increases with each change.
    holdings : list of list of tuple of int
        Experts, indexed by set and rank.

    Raises
    ------
    InvariantError
        If an expert is on no rank: tokens that select the expert could not be
        processed.
    """

    __slots__ = ("holdings", "version")

    def __init__(self, version, holdings, expert_count):
        self.version = version
        self.holdings = holdings
        for ranks in holdings:
            held = {expert for rank in ranks for expert in rank}
            if len(held) != expert_count or max(held) >= expert_count:
                raise InvariantError("an expert map must hold every expert, no other")

    def new_experts(self, other):
        """Return how many experts each rank must copy to switch to another map."""
        added = [0] * len(self.holdings[0])
        for own_ranks, other_ranks in zip(self.holdings, other.holdings, strict=True):
            for rank, experts in enumerate(other_ranks):
                added[rank] += len(set(experts) - set(own_ranks[rank]))
        return added


def rank_loads(ranks, loads):
    """Return the load of each rank in one set.

    Parameters
    ----------
    ranks : list of collection of int
        Experts of each rank.
    loads : list of float
        Load of each expert, shared evenly by the ranks that hold the expert.
    """
    replicas = replica_counts(ranks, len(loads))
    return [
        sum(loads[expert] / replicas[expert] for expert in experts) for experts in ranks
    ]


def replica_counts(ranks, expert_count):
    """Return how many ranks hold each expert of one set."""
    counts = [0] * expert_count
    for experts in ranks:
        for expert in experts:
            counts[expert] += 1
    return counts


def relative_pass_time(
    holdings, loads_by_set, expert_share, slowness, non_expert_work=None
):
    """Return the time of a pass relative to evenly loaded ranks of normal speed.

    In each set, the group waits for the slowest rank.

    Parameters
    ----------
    holdings : list of list of collection of int
        Experts, indexed by set and rank.
    loads_by_set : list of list of float
        Load of each expert, indexed by set.
    expert_share : float
        Fraction of the work that is done by experts.
    slowness : list of float
        Time of each rank for the same work, relative to normal speed.
    non_expert_work : list of float, optional
        Non-expert work of each rank, relative to the mean of all ranks; 1 for each rank
        by default.
    """
    if non_expert_work is None:
        non_expert_work = [1.0] * len(slowness)
    ratios = []
    for ranks, loads in zip(holdings, loads_by_set, strict=True):
        by_rank = rank_loads(ranks, loads)
        mean = sum(by_rank) / len(by_rank)
        slowest = max(load * slow for load, slow in zip(by_rank, slowness, strict=True))
        ratios.append(slowest / mean if mean else 1.0)
    slowest = max(
        work * slow for work, slow in zip(non_expert_work, slowness, strict=True)
    )
    non_expert = (1 - expert_share) * slowest
    return non_expert + expert_share * sum(ratios) / len(ratios)
