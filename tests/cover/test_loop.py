"""Background tasks outlive their own faults."""

from godwitwheel.internal.loop import Event, running_task, wait_for

LIMIT_S = 30.0


def test_task_that_fails_is_reported_and_runs_again():
    failures, again = [], Event()

    def fail_once():
        if not failures:
            raise KeyError("unforeseen")
        again.send()

    with running_task(fail_once, failures.append):
        assert wait_for(again, LIMIT_S)
    assert [type(error) for error in failures] == [KeyError]
