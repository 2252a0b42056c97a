"""Logs lose no line and never block; metrics and health are served."""

import io
import json
import os
import socket

import pytest
from hypothesis import given

from godwitwheel.observe.errors import LogUnavailable
from godwitwheel.observe.events import EventName, record_event
from godwitwheel.observe.health import observe_routes
from godwitwheel.observe.log import MAX_PENDING_BYTES, LineWriter, process_log, reopen
from godwitwheel.observe.metrics import ProcessMetrics, label_value
from godwitwheel.wire.server import Server
from tests.common.texts import field_texts


def test_each_event_is_on_disk_at_once_with_its_process(tmp_path):
    path = tmp_path / "proxy.log"
    with process_log(str(path), "p1", "proxy", "carrasco"):
        record_event(EventName.lease_lost, version=7, odd=object)
        (line,) = path.read_text().splitlines()
    event = json.loads(line)
    assert event["message_type"] == "lease_lost"
    assert event["timestamp"] > 0
    assert (event["process_id"], event["role"]) == ("p1", "proxy")
    assert (event["data_centre"], event["pid"]) == ("carrasco", os.getpid())
    assert (event["version"], event["sequence"]) == (7, 1)


@given(field_texts())
def test_a_text_in_an_event_begins_no_line_of_its_own(tmp_path_factory, text):
    # Texts of callers and targets are logged, such as the name of a database.
    path = tmp_path_factory.mktemp("log") / "proxy.log"
    with process_log(str(path), "p1", "proxy", "carrasco"):
        record_event(EventName.session_refused, database=text)
    (line, rest) = path.read_bytes().split(b"\n")
    assert (json.loads(line)["database"], rest) == (text, b"")


def test_names_with_quotes_leave_the_metrics_readable():
    # They were written as they are, so that the line could not be read.
    metrics = ProcessMetrics("p1", "proxy")
    name = 'a"b\\c\nd'
    metrics.counter("refused_total", "Refused.").inc({"account": label_value(name)})
    page = metrics.render().decode()
    assert 'account="a\\"b\\\\c\\nd"' in page


def test_a_full_pipe_neither_blocks_nor_loses_the_last_lines():
    reader, write_end = os.pipe()
    os.set_blocking(write_end, False)
    lines = [b"%07d\n" % number for number in range(20_000)]
    with LineWriter(write_end) as writer:
        for line in lines:
            writer.write(line)
        assert writer.pending
        received = os.read(reader, MAX_PENDING_BYTES)
        writer.flush(0.0)
        received += os.read(reader, MAX_PENDING_BYTES)
        writer.flush(0.0)
    received += os.read(reader, MAX_PENDING_BYTES)
    assert received == b"".join(lines)
    os.close(reader)


def test_drops_and_counts_lines_beyond_the_buffer():
    reader, write_end = os.pipe()
    os.set_blocking(write_end, False)
    writer = LineWriter(write_end)
    line = b"x" * 9_999 + b"\n"
    for _ in range(200):
        writer.write(line)
    assert writer.pending_bytes <= MAX_PENDING_BYTES
    assert writer.dropped > 0
    os.close(reader)
    os.close(write_end)


def test_reopens_a_pipe_without_changing_its_mode_and_duplicates_a_socket():
    reader, write_end = os.pipe()
    local, remote = socket.socketpair()
    with local, remote:
        for descriptor in (write_end, local.fileno()):
            with LineWriter(reopen(descriptor)) as writer:
                assert not os.get_blocking(writer.descriptor)
                writer.write(b"line\n")
        assert os.read(reader, 10) == remote.recv(10) == b"line\n"
    assert os.get_blocking(write_end)
    os.close(reader)
    os.close(write_end)


def test_refuses_a_log_file_that_cannot_be_opened(tmp_path):
    with pytest.raises(LogUnavailable, match="No such file"):
        process_log(str(tmp_path / "none" / "x.log"), "p1", "proxy", "dc").__enter__()


def test_two_processes_keep_their_metrics_apart():
    first, second = ProcessMetrics("p1", "proxy"), ProcessMetrics("c1", "control")
    first.counter("requests_total", "Requests.").inc({"outcome": "done"})
    first.histogram("seconds", "Time.", [0.1, 1.0]).observe({}, 0.5)
    second.counter("requests_total", "Requests.")
    text = first.render().decode()
    assert 'godwitwheel_requests_total{outcome="done",process="p1"' in text
    assert 'le="+Inf"' in text
    assert "p1" not in second.render().decode()


@pytest.mark.parametrize("path, status", [("/metrics", 200), ("/readyz", 503)])
def test_health_interfaces_answer(path, status):
    routes = observe_routes(ProcessMetrics("p1", "proxy"), lambda: False)
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": path, "wsgi.input": io.BytesIO()}
    assert Server(routes, [].append).respond(environ).status == status
