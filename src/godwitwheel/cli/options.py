"""Settings as flags and environment variables; a flag wins over its variable."""

import argparse
from collections.abc import Mapping

from ..internal.errors import InvalidValue
from ..internal.sentinel import not_set
from .errors import InvalidSettings
from .values import Parser, parse_boolean

VARIABLE_PREFIX = "GODWITWHEEL_"


class Option:
    """One setting of a command.

    :ivar name: attribute of the settings object; flag and variable follow from it.
    :ivar default: ``not_set`` if the setting is required.
    :ivar unit: unit or form of the value, shown in the help.
    """

    __slots__ = ("name", "help", "parse", "default", "unit", "flag", "variable")

    def __init__(
        self,
        name: str,
        help: str,
        parse: Parser,
        default: object = not_set,
        unit: str = "",
        flag: str = "",
    ):
        self.name = name
        self.help = help
        self.parse = parse
        self.default = default
        self.unit = unit
        self.flag = flag or "--" + name.replace("_", "-")
        self.variable = VARIABLE_PREFIX + self.flag[2:].replace("-", "_").upper()

    def add_to(self, parser: argparse.ArgumentParser) -> None:
        """Adds the flag, with unit, default and variable in its help."""
        parser.add_argument(
            self.flag,
            dest=self.name,
            nargs="?",
            const="true" if self.parse is parse_boolean else "",
            default=None,
            metavar=self.unit or "VALUE",
            help=f"{self.help} ({self.describe_default()}; {self.variable})",
        )

    def describe_default(self) -> str:
        """Returns the default as the help shows it."""
        if self.default is not_set:
            return "required"
        if self.default in ("", None):
            return "no default"
        if isinstance(self.default, bool):
            return f"default {str(self.default).lower()}"
        return f"default {self.default}"

    def read(self, given: str | None, environ: Mapping[str, str]) -> object:
        """Returns the value of the flag, else of the variable, else the default.

        :raises InvalidValue: if it is out of range, or missing and required.
        """
        if given is not None:
            return self.parse(given, self.flag)
        text = environ.get(self.variable, "")
        if text:
            return self.parse(text, self.variable)
        if self.default is not_set:
            raise InvalidValue(f"{self.flag} or {self.variable}: required, not given")
        return self.default


def read_options(
    options: list[Option], arguments: argparse.Namespace, environ: Mapping[str, str]
) -> dict[str, object]:
    """Reads all settings of a command.

    :raises InvalidSettings: naming every setting at fault.
    """
    values = {}
    problems = []
    for option in options:
        try:
            given = getattr(arguments, option.name)
            values[option.name] = option.read(given, environ)
        except InvalidValue as error:
            problems.append(str(error))
    if problems:
        raise InvalidSettings(problems)
    return values


def unknown_variables(options: list[Option], environ: Mapping[str, str]) -> list[str]:
    """Returns a problem for each variable with VARIABLE_PREFIX but no setting."""
    known = {option.variable for option in options}
    return [
        f"{variable}: no such setting"
        for variable in sorted(environ)
        if variable.startswith(VARIABLE_PREFIX) and variable not in known
    ]
