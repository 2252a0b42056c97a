"""Reports of played days, as the users' bench writes them."""

import json
from pathlib import Path

WORST_WINDOWS = "worst windows"


class WindowReport:
    """What clients got in one window of a day.

    :ivar start_s: start of the window, in seconds from the start of traffic.
    :ivar requests: requests that clients sent for the first time in it.
    :ivar credit: share of the credit owed that they earned, from 0 to 1.
    """

    __slots__ = ("start_s", "requests", "credit")

    def __init__(self, start_s: float, requests: int, credit: float):
        self.start_s = start_s
        self.requests = requests
        self.credit = credit


class DayReport:
    """The result of one played day.

    :ivar worth: credit earned less prices; 1 is the whole credit owed.
    :ivar parts: unweighted credit by part of the score, such as the worst windows.
    :ivar weights: weight of each part.
    :ivar prices: what each price takes off the worth.
    :ivar windows: consecutive windows of the day.
    :ivar rules: names of the broken rules; a fault of the day counts as one.
    """

    __slots__ = ("worth", "parts", "weights", "prices", "windows", "rules")

    def __init__(
        self,
        worth: float,
        parts: dict[str, float],
        weights: dict[str, float],
        prices: dict[str, float],
        windows: list[WindowReport],
        rules: list[str],
    ):
        self.worth = worth
        self.parts = parts
        self.weights = weights
        self.prices = prices
        self.windows = windows
        self.rules = rules

    def figures(self) -> dict[str, float]:
        """Returns the worth, each part of the score and the sum of all prices."""
        return {"worth": self.worth, **self.parts, "prices": sum(self.prices.values())}

    def lost_worth(self) -> dict[str, float]:
        """Returns how much worth each part of the score and each price takes."""
        lost = {
            name: self.weights[name] * (1.0 - credit)
            for name, credit in self.parts.items()
        }
        lost.update({name: price for name, price in self.prices.items() if price > 0})
        return lost


def read_report(path: Path) -> DayReport:
    """Reads the report of a day.

    :param path: JSON file that the bench's option ``--report`` wrote.
    """
    document = json.loads(path.read_text())
    rules = sorted(document["breaks"])
    if document["fault"]:
        rules.append(str(document["fault"]))
    return DayReport(
        document["G"],
        {name: credit for name, _, credit in document["parts"]},
        {name: weight for name, weight, _ in document["parts"]},
        {name: price for name, _, price in document["prices"]},
        [
            WindowReport(float(window["name"]), window["n"], window["worth"])
            for window in document["windows"]
        ],
        rules,
    )
