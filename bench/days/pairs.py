"""``python -m bench.days.pairs``: compares checkouts on the same days and seeds.

A run of a day varies by more than most changes are worth, so each day is played with
several seeds on every checkout, and the differences from the first one are averaged.
Several changes share the runs of that one, such as those of an ablation.
"""

import argparse
import math
import statistics
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .player import DayPlayer, DayRun
from .reports import DayReport

# A mean difference counts if it is more than this many standard errors from 0.
SIGNIFICANT_ERRORS = 2.0


class Pair:
    """The results of one day and seed on both checkouts."""

    __slots__ = ("run", "base", "change")

    def __init__(self, run: DayRun, base: DayReport, change: DayReport):
        self.run = run
        self.base = base
        self.change = change

    def difference(self, figure: str) -> float:
        """Returns by how much a figure is higher with the change."""
        return self.change.figures()[figure] - self.base.figures()[figure]


class Difference:
    """Mean difference of a figure over all pairs.

    :ivar mean: by how much it is higher with the change.
    :ivar error: standard error of the mean; infinite for a single pair.
    :ivar risen: number of pairs in which it rose.
    """

    __slots__ = ("mean", "error", "risen")

    def __init__(self, values: list[float]):
        self.mean = statistics.fmean(values)
        self.error = math.inf
        if len(values) > 1:
            self.error = statistics.stdev(values) / math.sqrt(len(values))
        self.risen = sum(1 for value in values if value > 0)

    def conclusion(self) -> str:
        """Returns whether the figure has risen, fallen or neither can be said."""
        if abs(self.mean) <= SIGNIFICANT_ERRORS * self.error:
            return "undecided"
        return "risen" if self.mean > 0 else "fallen"


def play_pairs(
    base: DayPlayer, changes: list[DayPlayer], runs: list[DayRun], jobs: int
) -> list[list[Pair]]:
    """Plays each run on every checkout.

    :param jobs: number of days that are played at the same time.
    :returns: the pairs of each change.
    """
    with ThreadPoolExecutor(jobs) as executor:
        submitted = [
            [executor.submit(player.play, run) for player in [base, *changes]]
            for run in runs
        ]
        pairs: list[list[Pair]] = [[] for _ in changes]
        for run, (before, *after) in zip(runs, submitted, strict=True):
            for change, found, result in zip(changes, pairs, after, strict=True):
                found.append(Pair(run, before.result(), result.result()))
                show_pair(change, found[-1])
    return pairs


def show_pair(change: DayPlayer, pair: Pair) -> None:
    """Prints the worth of one pair, and the rules that either run has broken."""
    broken = ""
    if pair.base.rules or pair.change.rules:
        broken = f"  broken: {pair.base.rules} -> {pair.change.rules}"
    print(
        f"{change.tree.name}: {pair.run.day} seed {pair.run.seed}: "
        f"{pair.base.worth:.3f} -> "
        f"{pair.change.worth:.3f} ({pair.difference('worth'):+.3f}){broken}",
        flush=True,
    )


def show_differences(change: DayPlayer, pairs: list[Pair]) -> None:
    """Prints the mean difference of each figure."""
    print(f"\n{change.tree.name}")
    for figure in pairs[0].base.figures():
        difference = Difference([pair.difference(figure) for pair in pairs])
        mean_before = statistics.fmean(pair.base.figures()[figure] for pair in pairs)
        print(
            f"{figure:14} {mean_before:.3f} {difference.mean:+.4f} "
            f"+- {difference.error:.4f}, risen in {difference.risen} "
            f"of {len(pairs)}: {difference.conclusion()}"
        )


def main() -> None:
    """Plays the pairs that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("fleetbench", type=Path, help="program of the users' bench")
    parser.add_argument("site", type=Path, help="site file")
    parser.add_argument("base", type=Path, help="checkout without the change")
    parser.add_argument(
        "changes", type=Path, nargs="+", help="checkouts with one change each"
    )
    parser.add_argument("--days", default="trouble-1,trouble-2,trouble-3,scale-1")
    parser.add_argument("--seeds", type=int, default=2, help="seeds a day")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--why", required=True, help="note for the journal")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    runs = [
        DayRun(options.site, day, seed)
        for seed in seeds
        for day in options.days.split(",")
    ]
    base = DayPlayer(options.fleetbench, options.base, f"base for: {options.why}")
    changes = [
        DayPlayer(options.fleetbench, tree, options.why) for tree in options.changes
    ]
    for player in [base, *changes]:
        player.build()
    results = play_pairs(base, changes, runs, options.jobs)
    for change, pairs in zip(changes, results, strict=True):
        show_differences(change, pairs)


if __name__ == "__main__":
    main()
