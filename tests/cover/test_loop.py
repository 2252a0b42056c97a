"""A background task is restarted after an unexpected error."""

from godwitwheel.internal.loop import Event, running_task, wait_for

LIMIT_S = 30.0


def test_failed_task_is_reported_and_restarted():
    failures, restarted = [], Event()

    def fail_once():
        if not failures:
            raise KeyError("unforeseen")
        restarted.send()

    with running_task(fail_once, failures.append):
        assert wait_for(restarted, LIMIT_S)
    assert [type(error) for error in failures] == [KeyError]
