"""The open-loop load tool: ``python -m bench.load --help``.

One process sends about a thousand requests a second; :class:`LoadProcesses` runs
several of them and merges what they recorded.
"""

from godwitwheel.internal.loop import patch_standard_library

if __name__ == "__main__":
    patch_standard_library(with_subprocesses=True)

import argparse  # noqa: E402
import contextlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import msgspec  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from godwitwheel.internal.loop import sleep  # noqa: E402
from godwitwheel.wire.client import Client  # noqa: E402

from .processes import ManagedProcess  # noqa: E402
from .records import Ending, RequestRecord  # noqa: E402
from .traffic import Traffic  # noqa: E402
from .workload import agency_mix, ferreira_mix, single_statement_mix  # noqa: E402

MIXES = {
    "ferreira": ferreira_mix,
    "ferreira-single": single_statement_mix,
    "agency": agency_mix,
}
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PROCESS_RATE_PER_S = 600.0
START_DELAY_S = 1.0
FINISH_LIMIT_S = 60.0


class LoadResult(msgspec.Struct):
    """Records of one load process.

    :ivar skipped: requests not sent because too many were in flight.
    """

    skipped: int
    records: list[RequestRecord]


class LoadProcesses:
    """Load processes that start together and whose records are merged at the end.

    :ivar begins_at: ``CLOCK_MONOTONIC`` at which the load begins, in seconds.
    """

    __slots__ = ("processes", "outputs", "begins_at", "seconds")

    def __init__(
        self,
        proxies: list[str],
        mix: str,
        groups: list[str],
        rate: float,
        seconds: float,
        folder: Path,
        resend_s: float = 0.0,
    ):
        count = max(1, round(rate / PROCESS_RATE_PER_S))
        self.begins_at = time.monotonic() + START_DELAY_S
        self.seconds = seconds
        self.outputs: list[Path] = []
        self.processes: list[ManagedProcess] = []
        for number in range(count):
            name = f"load-{int(self.begins_at * 1000)}-{number}"
            self.outputs.append(folder / f"{name}.json")
            arguments = [
                *("--proxies", ",".join(proxies)),
                *("--mix", mix),
                *("--groups", ",".join(groups)),
                *("--rate", str(rate / count)),
                *("--seconds", str(seconds)),
                *("--begins-at", str(self.begins_at)),
                *("--seed", str(number + 1)),
                *("--resend-s", str(resend_s)),
                *("--output", str(self.outputs[-1])),
            ]
            output = folder / f"{name}.out"
            process = ManagedProcess(name, "bench.load", arguments, output)
            self.processes.append(process)

    def __enter__(self) -> "LoadProcesses":
        for process in self.processes:
            process.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes:
            process.kill()

    def wait(self) -> LoadResult:
        """Returns the merged records once every process has ended."""
        merged = LoadResult(0, [])
        for process, path in zip(self.processes, self.outputs, strict=True):
            code = process.wait(START_DELAY_S + self.seconds + FINISH_LIMIT_S)
            if code:
                raise RuntimeError(f"{process.process_id} exited with status {code}")
            result = msgspec.json.decode(path.read_bytes(), type=LoadResult)
            merged.skipped += result.skipped
            merged.records += result.records
        return merged


def latency_ms(records: list[RequestRecord], percentiles: list[float]) -> list[float]:
    """Returns percentiles of the latency, from the scheduled time to the answer.

    :returns: milliseconds, in the order of ``percentiles``; 0 without records.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for record in records:
        latency_us = int((record.answered_at - record.arrived_at) * 1e6)
        histogram.record_value(max(latency_us, 1))
    return [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in percentiles
    ]


def ended(records: list[RequestRecord], *endings: Ending) -> list[RequestRecord]:
    """Returns the records with one of these endings."""
    return [record for record in records if record.ending in endings]


def main() -> int:
    """Sends the load and writes the records."""
    parser = argparse.ArgumentParser(prog="bench.load", description=__doc__)
    parser.add_argument("--proxies", required=True, help="ADDR,ADDR")
    parser.add_argument("--mix", choices=sorted(MIXES), default="ferreira")
    parser.add_argument("--groups", required=True, help="NAME,NAME")
    parser.add_argument("--rate", type=float, required=True, help="requests a second")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--begins-at", type=float, default=0.0, help="CLOCK_MONOTONIC")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--resend-s", type=float, default=0.0)
    parser.add_argument("--output", required=True)
    options = parser.parse_args()
    mix = MIXES[options.mix](options.groups.split(","))
    with Client() as client:
        proxies = options.proxies.split(",")
        traffic = Traffic(proxies, mix, client, options.seed, options.resend_s)
        sleep(max(options.begins_at - time.monotonic(), 0.0))
        traffic.run(options.rate, options.seconds)
        traffic.wait_for_answers()
    result = LoadResult(traffic.skipped, traffic.records)
    Path(options.output).write_bytes(msgspec.json.encode(result))
    with contextlib.suppress(BrokenPipeError):
        print(f"{len(traffic.records)} sent, {traffic.skipped} skipped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
