"""The soak's operator calls control as the platform's operator does."""

import random

from bench.soak.accounts import AccountBook
from bench.soak.platform_calls import Operator
from bench.soak.promises import PromiseChecker
from godwitwheel.wire.server import Response, Server
from godwitwheel.wire.status import TEMPORARY_REDIRECT

PATH = "/api/config/put"


def operator_of(address):
    accounts = AccountBook(random.Random(1), False)
    promises = PromiseChecker()
    return Operator({"bookings": 0}, accounts, [address], promises, random.Random(1))


def test_the_operator_follows_a_redirect_to_the_leader():
    # It tried members at random instead, and missed the leader for 3 s.
    errors = []
    received = []

    def accept(request):
        received.append(request.body)
        return Response({})

    leader = Server({("POST", PATH): accept}, errors.append)
    with leader.listening("127.0.0.1:0"):
        location = ("Location", f"http://{leader.address}{PATH}")

        def redirect(request):
            return Response(b"{}", TEMPORARY_REDIRECT, [location])

        follower = Server({("POST", PATH): redirect}, errors.append)
        with follower.listening("127.0.0.1:0"):
            operator = operator_of(follower.address)
            assert operator.publish(2.0)
    assert received == [operator.documents[operator.version]]
    assert errors == []
