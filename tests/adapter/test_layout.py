"""The adapter shadows no standard module, and the product doesn't import it."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


def test_the_adapter_folder_does_not_shadow_the_platform_module():
    command = "import platform; platform.python_version()"
    subprocess.run([sys.executable, "-c", command], cwd=ROOT, check=True)


def test_the_product_does_not_import_the_adapter():
    for path in ROOT.glob("src/**/*.py"):
        text = path.read_text()
        assert "import fleet" not in text, path
        assert "from fleet" not in text, path
