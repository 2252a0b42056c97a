"""Settings of the proxy process."""


class ProxySettings:
    """Settings that the command line passes to the proxy process.

    :ivar listen: ``IP:PORT`` to serve on.
    :ivar advertise: ``IP:PORT`` under which other processes reach the proxy.
    :ivar control: addresses of the control members.
    :ivar heartbeat_interval_s: time between lease renewals, in seconds.
    :ivar probe_interval_s: time between probes of one target, in seconds.
    :ivar drain_limit_s: longest wait for requests in flight at a stop, in seconds.
    :ivar log_file: path of the event log; empty for standard error.
    """

    __slots__ = (
        "proxy_id",
        "data_centre",
        "listen",
        "advertise",
        "control",
        "heartbeat_interval_s",
        "probe_interval_s",
        "drain_limit_s",
        "log_file",
    )

    def __init__(
        self,
        proxy_id: str,
        data_centre: str,
        listen: str,
        control: list[str],
        advertise: str = "",
        heartbeat_interval_s: float = 0.15,
        probe_interval_s: float = 0.1,
        drain_limit_s: float = 30.0,
        log_file: str = "",
    ):
        self.proxy_id = proxy_id
        self.data_centre = data_centre
        self.listen = listen
        self.advertise = advertise or listen
        self.control = control
        self.heartbeat_interval_s = heartbeat_interval_s
        self.probe_interval_s = probe_interval_s
        self.drain_limit_s = drain_limit_s
        self.log_file = log_file
