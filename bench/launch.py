"""Runs a module whose outgoing connections come from one loopback address.

``python -m bench.launch SOURCE_IP MODULE ARGUMENT...``: the relay identifies the
process that opened a connection by its source address.
"""

import runpy
import socket
import sys

from eventlet.greenio.base import GreenSocket

_IP_BIND_ADDRESS_NO_PORT = 24
_UNBOUND = ("0.0.0.0", 0)


def connect_from(source_ip: str) -> None:
    """Patches the loop's sockets to bind to ``source_ip`` before they connect."""
    connect = GreenSocket.connect

    def bound_connect(self: GreenSocket, address: object) -> object:
        if self.fd.family == socket.AF_INET and self.fd.getsockname() == _UNBOUND:
            self.fd.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            self.fd.bind((source_ip, 0))
        return connect(self, address)

    GreenSocket.connect = bound_connect


def main() -> None:
    """Patches the loop's sockets and runs the module."""
    source_ip, module = sys.argv[1:3]
    connect_from(source_ip)
    sys.argv[:3] = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
