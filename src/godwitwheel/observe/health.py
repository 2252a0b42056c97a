"""The endpoints that a platform polls: metrics, liveness and readiness.

``GET /metrics`` answers in the Prometheus text format. ``GET /healthz`` answers 200
while the event loop runs. ``GET /readyz`` answers 200 if the process accepts work,
else 503; a load balancer sends new callers only to ready proxies.
"""

from collections.abc import Callable

from ..wire.server import Handler, Request, Response
from .metrics import ProcessMetrics

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def observe_routes(
    metrics: ProcessMetrics, is_ready: Callable[[], bool]
) -> dict[tuple[str, str], Handler]:
    """Returns the routes to add to a process's server."""

    def answer_metrics(request: Request) -> Response:
        return Response(metrics.render(), content_type=METRICS_CONTENT_TYPE)

    def answer_health(request: Request) -> Response:
        return Response({"alive": True})

    def answer_readiness(request: Request) -> Response:
        ready = is_ready()
        return Response({"ready": ready}, 200 if ready else 503)

    return {
        ("GET", "/metrics"): answer_metrics,
        ("GET", "/healthz"): answer_health,
        ("GET", "/readyz"): answer_readiness,
    }
