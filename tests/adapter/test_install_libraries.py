"""The build installs what is missing, replaces what is unusable, and nothing else."""

import base64
import hashlib
import os
import shutil
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
TOOL = ROOT / "tools" / "install_libraries.py"
FOREIGN_MODULE = "_core.cpython-27-other-machine.so"


def recorded(path, content):
    digest = base64.urlsafe_b64encode(hashlib.sha256(content).digest()).decode()
    return f"{path},sha256={digest.rstrip('=')},{len(content)}\n"


def write_wheel(folder, name, version, source="", requires=()):
    """Writes a wheel of one package, which an installer finds in the folder."""
    info = f"{name}-{version}.dist-info"
    lines = [
        "Metadata-Version: 2.1",
        f"Name: {name.replace('_', '.')}",
        f"Version: {version}",
    ]
    lines += [f"Requires-Dist: {other}" for other in requires]
    files = {
        f"{name}/__init__.py": source,
        f"{name}/part.py": f"VERSION = {version!r}\n",
        f"{info}/METADATA": "\n".join(lines) + "\n",
        f"{info}/WHEEL": "Wheel-Version: 1.0\nRoot-Is-Purelib: true\n"
        "Tag: py3-none-any\n",
    }
    record = "".join(recorded(path, text.encode()) for path, text in files.items())
    files[f"{info}/RECORD"] = f"{record}{info}/RECORD,,\n"
    wheel = folder / f"{name}-{version}-py3-none-any.whl"
    with zipfile.ZipFile(wheel, "w") as archive:
        for path, text in files.items():
            archive.writestr(path, text)


class Build:
    """The folder of libraries, an index that is a folder, and the requirements."""

    def __init__(self, folder):
        self.index = folder / "index"
        self.index.mkdir()
        self.libraries = folder / "target" / "deps"
        self.requirements = folder / "requirements.txt"
        write_wheel(self.index, "alpha", "1.0", "import beta\n", ["beta"])
        write_wheel(self.index, "beta", "1.0")
        write_wheel(self.index, "gamma", "1.0")
        self.require("alpha==1.0", "gamma==1.0")

    def require(self, *requirements):
        self.requirements.write_text("\n".join(requirements))

    def run(self, is_index_there=True):
        found = str(self.index) if is_index_there else "/nonexistent"
        environment = {"PIP_NO_INDEX": "1", "PIP_FIND_LINKS": found}
        return subprocess.run(
            [sys.executable, str(TOOL), str(self.libraries), str(self.requirements)],
            capture_output=True,
            text=True,
            env={**os.environ, **environment},
        )

    def stamps(self):
        """Returns what changes if a distribution is installed again, by name."""
        names = ("alpha", "beta", "gamma")
        return {
            name: (self.libraries / name / "part.py").stat().st_ctime_ns
            for name in names
        }

    def make_foreign(self, name):
        """Makes a package's compiled part one of another kind of machine."""
        module = self.libraries / name / FOREIGN_MODULE
        module.write_bytes(b"\x7fELF")
        (record,) = self.libraries.glob(f"{name}-*.dist-info/RECORD")
        line = recorded(f"{name}/{FOREIGN_MODULE}", b"\x7fELF")
        record.write_text(record.read_text() + line)

    def truncate(self, name):
        (self.libraries / name / "part.py").write_text("VERS")

    def remove_file(self, name):
        (self.libraries / name / "part.py").unlink()

    def remove_package(self, name):
        shutil.rmtree(self.libraries / name)


@pytest.fixture
def build(tmp_path):
    build = Build(tmp_path)
    ended = build.run()
    assert ended.returncode == 0, ended.stderr
    return build


def test_libraries_that_are_good_are_not_installed_again(build):
    before = build.stamps()
    ended = build.run(is_index_there=False)
    assert (ended.returncode, ended.stderr) == (0, "")
    assert build.stamps() == before


@pytest.mark.parametrize("name", ["alpha", "beta", "gamma"])
@pytest.mark.parametrize(
    "damage",
    [Build.make_foreign, Build.truncate, Build.remove_file, Build.remove_package],
)
def test_only_a_library_that_is_unusable_is_replaced(build, damage, name):
    # The build looked at the age of the folder alone, and reported success.
    before = build.stamps()
    damage(build, name)
    ended = build.run()
    assert ended.returncode == 0, ended.stderr
    assert f"{name}==1.0" in ended.stderr
    changed = {key for key, stamp in build.stamps().items() if stamp != before[key]}
    assert changed == {name}
    assert not (build.libraries / name / FOREIGN_MODULE).exists()


def test_another_version_is_replaced_once(build):
    # The installer leaves the metadata of the former version beside the new one.
    write_wheel(build.index, "gamma", "2.0")
    build.require("alpha==1.0", "gamma==2.0")
    for _ in range(2):
        assert build.run().returncode == 0
    text = (build.libraries / "gamma" / "part.py").read_text()
    assert text == "VERSION = '2.0'\n"
    before = build.stamps()
    assert build.run(is_index_there=False).returncode == 0
    assert build.stamps() == before


def test_another_version_of_a_library_with_a_dot_in_its_name_is_replaced(build):
    # Its metadata are in a folder of another spelling, which the build did not find.
    for version in ("1.0", "2.0"):
        write_wheel(build.index, "del_ta", version)
        build.require("alpha==1.0", f"del.ta=={version}")
        ended = build.run()
        assert ended.returncode == 0, ended.stderr
    (metadata,) = build.libraries.glob("del_ta-*.dist-info")
    assert metadata.name == "del_ta-2.0.dist-info"


def test_a_build_that_cannot_replace_a_library_fails_and_says_which(build):
    build.make_foreign("beta")
    ended = build.run(is_index_there=False)
    assert ended.returncode == 1
    assert "can't install beta==1.0" in ended.stderr.splitlines()[-1]


def test_a_library_that_fails_at_import_though_it_is_complete_fails_the_build(build):
    write_wheel(build.index, "gamma", "2.0", "import nothing_of_this_name\n")
    build.require("alpha==1.0", "gamma==2.0")
    ended = build.run()
    assert ended.returncode == 1
    assert "nothing_of_this_name" in ended.stderr.splitlines()[-1]


def test_the_deploy_file_builds_with_this_check():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    command = "python3 tools/install_libraries.py target/deps deploy/requirements.txt"
    assert deploy["build"].split(" && ")[0] == command
