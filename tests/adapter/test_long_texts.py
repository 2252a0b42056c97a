"""Messages of the longest length that the protocol allows."""

import pytest

from fleet.lines import MAX_MESSAGE_BYTES
from tests.common.line_proxy import TIMEOUT_S, LineCaller, running_proxy


@pytest.fixture(scope="module", params=[False, True], ids=["direct", "owner"])
def proxy(request):
    with running_proxy(request.param) as running:
        yield running


def fill(message, character="\n"):
    """Returns the text of a query, lengthened to that of the longest message."""
    room = MAX_MESSAGE_BYTES - len(f"QUERY a {message}")
    return message + character * (room // len(character.encode()))


@pytest.mark.parametrize("database", ["primary", "bounded_staleness"])
def test_the_longest_read_fits_a_target_at_every_route(proxy, database):
    # The position in front of a read at a replica made it too long for the target.
    text = fill("READ x")
    with proxy.open(database) as caller:
        caller.query("a", "READ x")
        reply = caller.query("a", text)
    assert reply.error == ""
    assert proxy.target.ran[-1] == ("a", text)
    assert proxy.target.longest_message <= MAX_MESSAGE_BYTES


@pytest.mark.parametrize("character", ["x", "\0", "\u20ac"])
def test_the_longest_write_reaches_the_target(proxy, character):
    # A body of more than 1 MiB, which JSON may make of it, was refused by an owner.
    text = fill("WRITE x ", character)
    with proxy.open() as caller:
        reply = caller.query("a", text)
    assert (reply.error, proxy.target.ran) == ("", [("a", text)])


def test_renamed_prepared_statements_are_no_longer_than_the_callers(proxy):
    # A connection's name for a prepared statement could be longer than the caller's.
    with proxy.open() as caller:
        for number in range(150):
            assert caller.query("p", f"PREPARE s WRITE q{number}").error == ""
            reply = caller.query("a", f"EXECUTE s {number}")
            assert reply.error == ""
        assert caller.query("a", fill("PREPARE s WRITE q")).error == ""
        assert caller.query("a", fill("EXECUTE s 1a4 ")).error == ""
    assert len(proxy.target.ran) == 151
    assert proxy.target.longest_message <= MAX_MESSAGE_BYTES


def test_a_transaction_that_uses_up_the_short_names_is_not_interrupted(proxy):
    # The connection may be cleared between transactions only.
    with proxy.open() as caller:
        assert caller.query("b", "BEGIN").error == ""
        for number in range(70):
            assert caller.query("p", f"PREPARE s WRITE t{number}").error == ""
            reply = caller.query(f"w{number}", f"EXECUTE s {number}")
            assert (reply.error, reply.state) == ("", "T")
        assert caller.query("z", "COMMIT").error == ""
        begun = proxy.target.queries.index(("-", "BEGIN"))
        assert ("-", "DISCARD") not in proxy.target.queries[begun:]
        assert caller.query("p", "PREPARE s WRITE last").error == ""
        assert caller.query("w", "EXECUTE s x").error == ""
        assert ("-", "DISCARD") in proxy.target.queries[begun:]


def test_values_have_room_for_the_longest_one_and_end_with_a_clear_error(proxy):
    with proxy.open() as caller:
        replies = [caller.query("a", fill(f"SET v{i} ", "x")) for i in range(6)]
        errors = [reply.error for reply in replies]
        assert errors[0] == "" and errors[-1] == "TOOLARGE"
        assert caller.query("a", "WRITE x y").error == ""
        assert caller.query("a", "SET v0 x").error == ""
        assert caller.query("a", fill("SET v5 ", "x")).error == ""
    assert proxy.target.longest_message <= MAX_MESSAGE_BYTES


def test_names_of_values_and_prepared_statements_count_as_well(proxy):
    with proxy.open() as caller:
        names = [f"{number}{'n' * (1 << 19)}" for number in range(9)]
        replies = [caller.query("a", f"SET {name} x") for name in names]
        assert [reply.error for reply in replies[:7] + replies[8:]] == [""] * 7 + [
            "TOOLARGE"
        ]
        assert caller.query("a", f"PREPARE {names[0]} READ q").error == "TOOLARGE"
        assert caller.query("a", "PREPARE s READ q").error == ""
        assert caller.query("a", "DEALLOCATE s").error == ""
        assert caller.query("a", "WRITE x y").error == ""


def test_the_longest_name_of_an_unknown_database_gets_an_answer(proxy):
    database = "d" * (MAX_MESSAGE_BYTES - len("START "))
    with LineCaller(proxy.address) as caller:
        caller.send(f"START {database}")
        answer = caller.reader.read(TIMEOUT_S)
    assert answer.startswith("ERROR NODB dd")
    assert len(answer) == MAX_MESSAGE_BYTES


def test_a_message_over_the_limit_is_refused_as_not_run(proxy):
    text = fill("WRITE x ") + "yy"
    with proxy.open() as caller:
        caller.send(f"QUERY a {text}")
        assert caller.reader.read(TIMEOUT_S).startswith("ERROR MALFORMED not run")
    assert proxy.target.ran == []
