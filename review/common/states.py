"""Desired states of one route, and an operator who sends them."""

import json
import time

from deployment import call

PATH = "/-/configuration"


def one_route(version, where, service):
    return json.dumps({
        "version": version,
        "routes": [{"name": "r-feed", "host": where[0], "path_prefix": f"/{where[1]}/",
                    "type": "idempotent", "timeout_ms": 2500, "target_latency_ms": 250,
                    "priority": 2, "service": service, "max_attempts": 2}],
        "services": [{"name": service, "health_path": "/health", "connection_limit": 2000,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}})


def send_state(deployment, controls, body, record):
    for turn in range(100):
        machine = controls[turn % len(controls)]
        status, _ = call(machine.address, deployment.control_port, "PUT", PATH, body)
        if status == 200:
            record.write("the desired state is acknowledged")
            return
        time.sleep(0.1)
    raise RuntimeError("the desired state was not acknowledged")
