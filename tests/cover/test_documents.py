"""The operators' page explains every reason, event and metric; links lead somewhere."""

import re
from pathlib import Path

import pytest

from godwitwheel.control.metrics import MemberMetrics
from godwitwheel.observe.events import EventName
from godwitwheel.observe.metrics import ProcessMetrics
from godwitwheel.proxy.metrics import ProxyMetrics
from godwitwheel.wire.caller import Reason

ROOT = Path(__file__).parent.parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


def metric_names():
    process = ProcessMetrics("p1", "proxy")
    ProxyMetrics(process)
    registries = [process.registry, MemberMetrics("c1", None).registry]
    return {
        collector.name.removeprefix("godwitwheel_")
        for registry in registries
        for collector in registry.get_all()
    }


@pytest.mark.parametrize("words", [Reason, EventName, metric_names()])
def test_operators_page_explains_every(words):
    text = (ROOT / "docs" / "OPERATORS.md").read_text()
    named = set(re.findall(r"`([a-z_]+)(?:\{[a-z,]+\})?`", text))
    assert set(words) - named == set()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page):
    for link in re.findall(r"\]\(([^)#]+)", page.read_text()):
        if "://" not in link:
            assert (page.parent / link).exists(), link


def test_proofs_name_tests_that_exist():
    text = (ROOT / "docs" / "PROOFS.md").read_text()
    named = re.findall(r"`(tests/\S+\.py)::(\w+)", text)
    assert named
    for path, name in named:
        source = (ROOT / path).read_text()
        assert re.search(rf"^(def |class )?{name}\b", source, re.MULTILINE), name
