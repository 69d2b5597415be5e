"""Desired states in which a route names an unknown service beside a split of known ones."""

import copy
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import Deployment, Record, call  # noqa: E402

PATH = "/-/configuration"
INVALID_STATES = 3  # bad_config: count = 3, gap_s = 1.0 on gridlog-ie
GAP_S = 1.0

# The example of PROTOCOL.md, less one route.
VALID = {
    "version": 7,
    "routes": [
        {"name": "r-3d3zji9", "host": "127.18.0.1", "path_prefix": "/8080/",
         "type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 1,
         "service": "huvo11a", "max_attempts": 2},
        {"name": "r-hwrr6x7", "host": "127.18.0.1", "path_prefix": "/8443/", "type": "idempotent",
         "timeout_ms": 1500, "target_latency_ms": 250, "priority": 2,
         "traffic_split": [{"service": "huvo11a", "weight": 90},
                           {"service": "wuno96b", "weight": 10}], "max_attempts": 2}],
    "services": [
        {"name": "huvo11a", "health_path": "/health", "connection_limit": 2000, "protocol": "h1",
         "tls": False},
        {"name": "wuno96b", "health_path": "/health", "connection_limit": 2000, "protocol": "h1",
         "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


class Operator:
    def __init__(self, deployment, controls, record):
        self.port = deployment.control_port
        self.controls = controls
        self.record = record
        self.turn = 0

    def send(self, method, body, what):
        """Sends the call to one machine after the other until the response is clear."""
        for _ in range(100):
            machine = self.controls[self.turn % len(self.controls)]
            self.turn += 1
            status, text = call(machine.address, self.port, method, PATH, body)
            self.record.write(f"{what} at {machine.name}: {status}")
            if status not in (0, 503):
                return status, text
            time.sleep(0.1)
        raise RuntimeError("no clear response")


def state(version, names_unknown_service, has_split=True):
    document = copy.deepcopy(VALID)
    document["version"] = version
    route = document["routes"][1]
    if names_unknown_service:
        route["service"] = "nosuch1"
    if not has_split:
        del route["traffic_split"]
    return json.dumps(document)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    with Deployment() as deployment:
        controls = deployment.add_control(5)
        for machine in controls:
            machine.start()
        operator = Operator(deployment, controls, record)
        time.sleep(3)
        status, _ = operator.send("PUT", state(7, False), "PUT version 7, valid")
        if status != 200:
            raise RuntimeError("the valid state was refused")
        # Shows that a refusal is seen: the same unknown service without a split.
        status, _ = operator.send("PUT", state(8, True, False),
                                  "PUT version 8, unknown service without a split")
        if not 400 <= status < 500:
            raise RuntimeError("the state with an unknown service and no split was acknowledged")
        acknowledged = in_force = 0
        for version in range(10, 10 + INVALID_STATES):
            kind = "unknown service beside a split" if trouble else "valid"
            status, _ = operator.send("PUT", state(version, trouble),
                                      f"PUT version {version}, {kind}")
            if trouble and status == 200:
                acknowledged += 1
                record.write(f"version {version} is invalid and was acknowledged  BROKEN")
            if not trouble and status != 200:
                raise RuntimeError("a valid state was refused")
            time.sleep(GAP_S)
            status, text = operator.send("GET", None, "GET")
            shown = json.loads(text)
            record.write(f"GET shows version {shown['version']}")
            known = {service["name"] for service in shown["services"]}
            if any(route.get("service", "huvo11a") not in known for route in shown["routes"]):
                in_force += 1
                record.write(f"version {shown['version']} is invalid and is shown  BROKEN")
        summary = f"{acknowledged} invalid states acknowledged, {in_force} shown afterwards"
        record.write(summary)
        print(summary)
        return 1 if acknowledged or in_force else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as failure:  # the case could not run
        print("could not run:", repr(failure))
        sys.exit(2)
