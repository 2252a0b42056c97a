"""The adapter's folder hides no module of the standard library."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


def test_the_standard_module_platform_is_found_from_the_root():
    command = "import platform; platform.python_version()"
    subprocess.run([sys.executable, "-c", command], cwd=ROOT, check=True)


def test_the_product_names_nothing_of_the_adapter():
    for path in ROOT.glob("src/**/*.py"):
        text = path.read_text()
        assert "import fleet" not in text, path
        assert "from fleet" not in text, path
