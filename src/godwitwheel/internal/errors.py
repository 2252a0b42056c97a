"""The root of every layer's errors."""


class GodwitwheelError(Exception):
    """Raised only through its subclasses; one base per layer derives from it."""


class InvalidValue(GodwitwheelError):
    """Raised when a setting, an argument or a file holds a value out of range."""
