"""A randomized soak of the programs that run on the users' platform.

The programs run as separate processes on loopback addresses. Targets, callers, the
operator and the platform's calls are stand-ins in the soak's own process, so that it
sees both ends of every statement and can check what was promised while faults last.
"""

import sys
from pathlib import Path

# The stand-ins speak the platform's protocols through the adapter's own codecs.
sys.path.append(str(Path(__file__).parent.parent.parent / "platform"))
