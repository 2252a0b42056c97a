"""The bare HTTP server of the wire layer, as a baseline for costs.

It answers every ``POST /v1/request`` with its parameters and runs nothing.
"""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library(with_subprocesses=True)

import argparse  # noqa: E402
import sys  # noqa: E402
import traceback  # noqa: E402

from godwitwheel.internal.loop import Event  # noqa: E402
from godwitwheel.wire.caller import (  # noqa: E402
    CallerAnswer,
    CallerRequest,
    Outcome,
    StatementResult,
)
from godwitwheel.wire.codec import decode  # noqa: E402
from godwitwheel.wire.server import Request, Response, Server  # noqa: E402


def answer(request: Request) -> Response:
    """Decodes the request and echoes its parameters as one row."""
    statements = decode(request.body, CallerRequest).statements
    results = [
        StatementResult(["a", "b"], [[*statement.parameters]], 1)
        for statement in statements
    ]
    return Response(CallerAnswer(Outcome.done, results, "new"))


def main() -> int:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser(prog="bench.echo", description=__doc__)
    parser.add_argument("--listen", required=True)
    options = parser.parse_args()
    routes = {("POST", "/v1/request"): answer}
    with Server(routes, traceback.print_exception).listening(options.listen):
        Event().wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
