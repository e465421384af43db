"""Settings of expert map control."""

from siskinthread.settings import Item, Section


class GroupMapSettings(Section):
    """When and how far the expert map of a group is changed."""

    glance_interval_s = Item(
        float,
        default=0.5,
        minimum=0.05,
        description="Time between two polls of a group's ranks for their state: "
        "whether the group runs, and whether a change was left unfinished in it.",
    )
    watch_interval_s = Item(
        float,
        default=0.02,
        minimum=0.001,
        description="Time between two checks of the pass times that this entry's "
        "streams show. A fraction of the fastest pass of a loaded group.",
    )
    look_limit_s = Item(
        float,
        default=3.0,
        minimum=0.05,
        description="Longest time between two samples of the demand for experts. Each "
        "sample is charged for, and the group pauses 0.5 ms for 400 counts.",
    )
    busy_look_interval_s = Item(
        float,
        default=1.0,
        minimum=0.05,
        description="Time between two samples of the demand while passes are not "
        "short.",
    )
    least_look_interval_s = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Shortest time between two samples of the demand; about three "
        "passes, since fewer show little of the demand.",
    )
    short_pass_share = Item(
        float,
        default=0.55,
        minimum=0.0,
        description="Fraction of the longest pass that is in time, below which passes "
        "count as short. A shift of the demand makes them about twice as long.",
    )
    in_time_share = Item(
        float,
        default=0.8,
        minimum=0.0,
        description="Fraction of the longest pass that is in time, up to which "
        "predicted passes count as in time; prompts make passes up to 1.15 times as "
        "long as predicted.",
    )
    jump_ratio = Item(
        float,
        default=1.3,
        minimum=1.0,
        description="Time of a pass, relative to the preceding passes, above which "
        "the demand has probably shifted; prompts make passes up to 1.15 times as "
        "long.",
    )
    change_overhead_s = Item(
        float,
        default=0.4,
        minimum=0.0,
        description="Time of a change besides copying: two counts, the orders and the "
        "current pass.",
    )
    count_passes = Item(
        int,
        default=2,
        minimum=1,
        description="Passes between the two counts that show the demand after a "
        "shift. In each pass, a rank serves about twenty tokens.",
    )
    idle_count_s = Item(
        float,
        default=0.3,
        minimum=0.01,
        description="Longest time between the two counts that show the demand after a "
        "shift.",
    )
    sample_rank_count = Item(
        int,
        default=1,
        minimum=1,
        description="Number of ranks whose counts are read for a sample of the "
        "demand; requests are spread evenly over ranks, so a few ranks represent all.",
    )
    newest_weight = Item(
        float,
        default=0.8,
        minimum=0.01,
        description="Weight of the newest sample in the estimate of the demand, which "
        "shifts every 3 to 4 s.",
    )
    copies_limit = Item(
        int,
        default=3,
        minimum=1,
        description="Largest number of experts that one change copies to a rank; the "
        "smallest number that brings streams in time is used.",
    )
    least_step_gain = Item(
        float,
        default=0.01,
        minimum=0.0,
        description="Least reduction of the load of a set, relative to its mean load, "
        "for which one expert is copied.",
    )
    least_gain = Item(
        float,
        default=0.03,
        minimum=0.0,
        description="Least fraction of the pass time that a map change must save; "
        "copying makes passes 15 % longer while it lasts.",
    )
    settled_pass_share = Item(
        float,
        default=0.62,
        minimum=0.0,
        description="Fraction of the longest pass that is in time, up to which "
        "predicted passes are in time with a margin for prediction errors.",
    )
    least_gain_of_settled = Item(
        float,
        default=0.12,
        minimum=0.0,
        description="Least fraction of the pass time that a map change must save "
        "while passes are in time with a margin, but not short. A change of 96 ranks "
        "takes about 290 orders; copying makes passes 15 % longer while it lasts.",
    )
    least_gain_of_short = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Least fraction of the pass time that a map change must save "
        "while passes are short.",
    )
    slow_ratio = Item(
        float,
        default=1.5,
        minimum=1.0,
        description="Time of a rank for the same work, relative to normal speed, from "
        "which the rank gets no requests. Ranks of one service differ by less.",
    )
    slow_share_limit = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Largest fraction of a group's ranks that get no requests for "
        "being slow: one rank of the smallest groups, which have 8 ranks. With more, "
        "request slots are worth more than shorter passes.",
    )
    order_wait_s = Item(
        float,
        default=0.1,
        minimum=0.01,
        description="Longest timeout of an attempt to send an order to a rank. Hosts "
        "are less than 15 ms apart.",
    )
    least_order_wait_s = Item(
        float,
        default=0.03,
        minimum=0.001,
        description="Shortest timeout of an attempt to send an order; the timeout "
        "follows the measured response times. Responses normally take some 10 ms. "
        "With the value of order_wait_s, the timeout is constant.",
    )
    send_rate_bytes_s = Item(
        float,
        default=2_500_000.0,
        minimum=1.0,
        description="Rate of the host's link, unless its own settings state another "
        "rate; the default is that of the slowest entry hosts, 20 Mbit/s. A map is "
        "sent to all ranks at once, and the timeout allows for the time that this "
        "takes.",
    )
    order_tries = Item(
        int,
        default=12,
        minimum=1,
        description="Total time of the attempts to send an order, as a multiple of "
        "order_wait_s. At most 5/3 times as many attempts are sent, since timeouts "
        "may be shorter. With half of the responses lost, 12 attempts fail together "
        "once in 4,000.",
    )
    arm_interval_s = Item(
        float,
        default=0.02,
        minimum=0.001,
        description="Time until the order to arm is sent again to a rank that still "
        "copies. The group may be stalled meanwhile; about four round trips between "
        "hosts.",
    )
    stuck_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="How long a change may hold a group until its controller is "
        "considered gone and the change is finished or undone.",
    )
    relief_limit_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="How long a stalled group of another controller is recovered; "
        "after that, the share of that controller has expired.",
    )
    relief_interval_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Time between two starts of the recovery of a stalled group; each "
        "queries all ranks, which is charged for.",
    )
    prepare_margin_s = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="How much longer than predicted the copies of a change may take "
        "until the change is abandoned. The group may be stalled meanwhile.",
    )
    prepare_retry_s = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="How long the order to prepare is sent again to ranks that refuse "
        "it; the pass of the last change may not have started, and passes take 0.05 s "
        "to 0.2 s. Giving up cost 0.5 s until the next change, 9 to 16 times in 40 s.",
    )
    failure_wait_s = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Wait after a failed sample or change, and so the time until a "
        "group that has re-formed is polled.",
    )
    lost_rank_memory_s = Item(
        float,
        default=15.0,
        minimum=0.0,
        description="How long a rank that is no longer listed is remembered. Failure "
        "domains are cut off for some seconds; an address that is used again responds "
        "that another instance listens there.",
    )
    outage_look_interval_s = Item(
        float,
        default=0.05,
        minimum=0.005,
        description="Time between two checks of which groups are broken; a quarter of "
        "the time between two polls of a group.",
    )
    outage_watch_interval_s = Item(
        float,
        default=0.2,
        minimum=0.02,
        description="Time between two polls of a broken group, each to another rank. "
        "Reports are 0.2 s old.",
    )
    outage_fast_watch_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="How long a broken group is polled at the short interval; network "
        "cuts and restarts of ranks are shorter. Each poll is charged for.",
    )
    outage_slow_watch_interval_s = Item(
        float,
        default=1.0,
        minimum=0.02,
        description="Time between two polls of a group that stays broken longer.",
    )
    renew_interval_s = Item(
        float,
        default=1.0,
        minimum=0.05,
        description="Time between two renewals of the shares of groups.",
    )
    reconcile_interval_s = Item(
        float,
        default=0.25,
        minimum=0.05,
        description="Time between two checks of which groups are complete and belong "
        "to this process; part of the time until maps change again after a restart.",
    )
    share_lapse_s = Item(
        float,
        default=3.0,
        minimum=0.1,
        description="Time without a renewal after which shares move to other entries.",
    )
