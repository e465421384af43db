"""Enumerate all pairs of faults in a map change; print the number of runs."""

from siskinthread.experts.tests._explorer import change_with_successor, explore

FAULT_LIMIT = 2


def main():
    """Run the enumeration; an AssertionError describes a violation."""
    for checks_fencing in (True, False):
        for pause_after in (-1, 1, 2, 3, 4):
            run = change_with_successor(checks_fencing, pause_after)
            runs = explore(run, FAULT_LIMIT)
            print(f"{checks_fencing=} {pause_after=} {runs=} violations=0", flush=True)


if __name__ == "__main__":
    main()
