"""Exit statuses of the command line; ``publish --help`` explains its own."""

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_ID_REUSED = 4
EXIT_NOT_IN_FORCE = 5
EXIT_UNKNOWN = 6
