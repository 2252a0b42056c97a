"""``python -m bench.slopes``: prints every measurement and its slope."""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library(with_subprocesses=True)

from .decoder_slopes import SIZES, slowest_bodies  # noqa: E402
from .fit import Line  # noqa: E402
from .leader_slopes import LeaderLoad, leader_bytes  # noqa: E402
from .proxy_slopes import (  # noqa: E402
    heartbeat_us,
    http_exchange_us,
    http_overhead_bytes,
    probe_us,
    view_bytes,
)
from .state_slopes import (  # noqa: E402
    claim_bytes,
    claim_us,
    configuration_bytes,
    publish_us,
    revision_bytes,
)

PROXIES = [10, 20, 40, 80]
TIMED_PROXIES = [10, 20, 40, 80, 160]
TARGETS = [9, 18, 27, 36]
FIXED_PROXIES = 20
FIXED_TARGETS = 9
SERVICES = [2, 50, 200, 860]
REVISIONS = [1_000, 4_000, 16_000, 50_000]
CLAIMS = [2_000, 8_000, 16_000, 32_000]


def show(title: str, unit: str, points: dict[int, float]) -> None:
    """Prints one series of measurements and the line fitted to it."""
    line = Line(points)
    values = "  ".join(f"{x}: {y:,.1f}" for x, y in points.items())
    print(f"{title} [{unit}]")
    print(f"    {values}")
    print(
        f"    {line.intercept:,.2f} + {line.slope:,.4f} each, "
        f"worst deviation {line.worst_deviation:.0%}",
        flush=True,
    )


def show_control() -> None:
    """Measures the leader's costs by the number of proxies and of targets."""
    by_proxies = {n: LeaderLoad(n, FIXED_TARGETS).measure() for n in TIMED_PROXIES}
    by_targets = {n: LeaderLoad(FIXED_PROXIES, n).measure() for n in TARGETS}
    for title, costs in (
        (f"by proxies, {FIXED_TARGETS} targets", by_proxies),
        (f"by targets, {FIXED_PROXIES} proxies", by_targets),
    ):
        for name, unit in (
            ("heartbeat_us", "us"),
            ("decide_us", "us"),
            ("request_bytes", "bytes"),
            ("reply_bytes", "bytes"),
        ):
            points = {n: getattr(cost, name) for n, cost in costs.items()}
            show(f"leader: {name} {title}", unit, points)
    memory = {n: leader_bytes(n, FIXED_TARGETS) for n in PROXIES}
    show(f"leader: memory by proxies, {FIXED_TARGETS} targets", "bytes", memory)
    memory = {n: leader_bytes(FIXED_PROXIES, n) for n in TARGETS}
    show(f"leader: memory by targets, {FIXED_PROXIES} proxies", "bytes", memory)


def show_configuration() -> None:
    """Measures the costs of configurations, revisions and claims."""
    sizes = {n: configuration_bytes(n) for n in SERVICES}
    show("configuration: wire", "bytes", {n: size[0] for n, size in sizes.items()})
    show("configuration: memory", "bytes", {n: size[1] for n, size in sizes.items()})
    show("configuration: publish", "us", {n: publish_us(n) for n in SERVICES})
    show("revisions: memory", "bytes", {n: revision_bytes(n) for n in REVISIONS})
    sizes = {n: claim_bytes(n) for n in CLAIMS}
    show("claims: memory", "bytes", {n: size[0] for n, size in sizes.items()})
    show("claims: snapshot", "bytes", {n: size[1] for n, size in sizes.items()})
    print(f"claims: applying a claim and its outcome: {claim_us():.1f} us")


def show_proxy() -> None:
    """Measures a proxy's costs by the number of targets, and those of HTTP."""
    show("proxy: heartbeat", "us", {n: heartbeat_us(n) for n in TARGETS})
    show("proxy: view on the wire", "bytes", {n: view_bytes(n) for n in TARGETS})
    print(f"proxy: one probe: {probe_us():.1f} us")
    print(f"HTTP: added to an exchange's bodies: {http_overhead_bytes()} bytes")
    print(f"HTTP: one exchange, both ends: {http_exchange_us():.1f} us")


def show_decoders() -> None:
    """Measures the decoders by the size of the body that takes each of them longest."""
    slowest = {size: slowest_bodies(size) for size in SIZES}
    for name in slowest[SIZES[0]]:
        points = {size: slowest[size][name][1] * 1e6 for size in SIZES}
        show(f"decoders: {name}, {slowest[SIZES[-1]][name][0]}", "us", points)


if __name__ == "__main__":
    show_control()
    show_configuration()
    show_proxy()
    show_decoders()
