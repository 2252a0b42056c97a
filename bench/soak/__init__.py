"""A randomized soak of the programs that run on the users' platform.

The programs run as separate processes on loopback addresses. Targets, callers, the
operator and the platform's endpoints are simulated in the soak's own process, which
therefore sees both ends of every statement. While it injects faults, it checks the
promises: the guarantees that the system gives to callers and the operator.
"""

import sys
from pathlib import Path

# The simulated parts use the platform adapter's own codecs.
sys.path.append(str(Path(__file__).parent.parent.parent / "platform"))
