"""The operator: sends desired states to the machines that serve control, and reads them back."""

import http.client
import itertools
import json
import random
import time

FOLLOWED_REDIRECTS = 2


def desired_state(version, routes, idle_timeout_ms=15000):
    """`routes` holds (host, port, service, type, timeout in ms)."""
    services = sorted({service for _, _, service, _, _ in routes})
    return {
        "version": version,
        "routes": [{"name": f"r-{n}", "host": host, "path_prefix": f"/{port}/", "type": kind,
                    "timeout_ms": timeout, "target_latency_ms": 300, "priority": 1,
                    "service": service, "max_attempts": 2}
                   for n, (host, port, service, kind, timeout) in enumerate(routes)],
        "services": [{"name": name, "health_path": "/health", "connection_limit": 2000,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms},
    }


def call(address, method, path, body=None, timeout=1.0):
    """Status and body of the answer after redirects; (None, reason) without a response."""
    payload = body if body is None or isinstance(body, str) else json.dumps(body)
    try:
        for _ in range(FOLLOWED_REDIRECTS + 1):
            connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
            try:
                connection.request(method, path, payload, {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read().decode()
                if response.status != 307:
                    return response.status, text
                where = response.getheader("Location").removeprefix("http://")
                host, path = where.split("/", 1)
                path = "/" + path
                address = (host.split(":")[0], int(host.split(":")[1]))
            finally:
                connection.close()
        return 307, ""
    except (OSError, http.client.HTTPException) as failure:
        return None, str(failure)


def send_until_acknowledged(addresses, state, until, record):
    """Sends the state to one machine after the other, with increasing pauses. Returns whether it
    was acknowledged before `until`."""
    pause = 0.1
    order = random.sample(addresses, len(addresses))
    for address in itertools.cycle(order):
        if time.monotonic() >= until:
            return False
        status, text = call(address, "PUT", "/-/configuration", state)
        record(f"PUT version {state['version']} to {address[0]}: {status} {text[:120]}")
        if status == 200:
            return True
        if status in (400, 409, 412, 413, 422):
            raise RuntimeError("the desired state was refused")
        time.sleep(min(pause, max(0.0, until - time.monotonic())))
        pause = min(pause * 1.5, 1.0)
    return False
